#include "any_aggregate.h"
#include "link_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

constexpr int RoundsPerAlternative = 20;

/** Checks that random messages of every alternative of a group are equal after encoding and decoding. */
template<typename Group, std::size_t Index = 0>
void checkAlternatives()
{
    if constexpr (Index < std::variant_size_v<Group>) {
        for (int i = 0; i < RoundsPerAlternative; ++i) {
            Group group;
            AnyAggregate::fillAlternative(group, Index);
            const LinkMessage message = group;
            Error reason;
            const auto back = decodeLinkMessage(encodeLinkMessage(message), reason);
            RC_ASSERT(back.has_value());
            RC_ASSERT(AnyAggregate::same(message, *back));
        }
        checkAlternatives<Group, Index + 1>();
    }
}

RC_GTEST_PROP(CodecTest, EveryEntryToGateMessageRoundTrips, ())
{
    checkAlternatives<EntryToGate>();
}

RC_GTEST_PROP(CodecTest, EveryGateToEntryMessageRoundTrips, ())
{
    checkAlternatives<GateToEntry>();
}

RC_GTEST_PROP(CodecTest, EveryEntryToEntryMessageRoundTrips, ())
{
    checkAlternatives<EntryToEntry>();
}

/** Checks that any bytes either decode to a message that can be encoded again, or are rejected with a reason. */
void checkBytes(const std::string &bytes)
{
    Error reason;
    const auto message = decodeLinkMessage(bytes, reason);
    if (message) {
        const auto again = decodeLinkMessage(encodeLinkMessage(*message), reason);
        RC_ASSERT(again.has_value());
        RC_ASSERT(AnyAggregate::same(*message, *again));
    } else {
        RC_ASSERT(!reason.message.empty());
        RC_ASSERT(reason.code == ErrorCode::BadRequest);
    }
}

RC_GTEST_PROP(CodecTest, ArbitraryBytesAreRejectedWithReason, (const std::string &bytes))
{
    checkBytes(bytes);
}

RC_GTEST_PROP(CodecTest, CorruptedMessageIsRejectedOrDecodes, ())
{
    LinkMessage message;
    AnyAggregate::fill(message);
    std::string bytes = encodeLinkMessage(message);
    const auto changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes && !bytes.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    checkBytes(bytes);
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    checkBytes(bytes);
}

TEST(CodecTest, EmptyMessageIsRejected)
{
    Error reason;
    EXPECT_FALSE(decodeLinkMessage("", reason));
    EXPECT_EQ(reason.message, "LinkMessage.message is missing");
}

TEST(CodecTest, UnknownEnumeratorIsRejected)
{
    CallRefused refused;
    refused.error.code = static_cast<ErrorCode>(200);
    Error reason;
    EXPECT_FALSE(decodeLinkMessage(encodeLinkMessage(GateToEntry(refused)), reason));
    EXPECT_EQ(reason.message, "Error.code has an unknown value");
}

} // namespace

} // namespace Vanillahall
