#include "vanillahall/adapters/row_codec_func.h"

#include "json_archive_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

/** Archive that fills stored types with arbitrary values, and texts with arbitrary bytes. */
class ArbitraryFill
{
public:
    template<typename T>
    void operator()(std::string_view /*name*/, T &value)
    {
        if constexpr (std::is_same_v<T, bool>) {
            value = *rc::gen::arbitrary<bool>();
        } else if constexpr (std::is_enum_v<T>) {
            value = static_cast<T>(*rc::gen::inRange<std::size_t>(0, EnumCount<T>));
        } else if constexpr (std::is_integral_v<T>) {
            value = *rc::gen::oneOf(
                rc::gen::arbitrary<T>(), rc::gen::just(std::numeric_limits<T>::max()), rc::gen::just(std::numeric_limits<T>::min()));
        } else if constexpr (std::is_same_v<T, std::string>) {
            value = *rc::gen::oneOf(rc::gen::arbitrary<std::string>(), rc::gen::string<std::string>());
        } else if constexpr (IsName<T>) {
            (*this)({}, value.text);
        } else if constexpr (IsNumber<T>) {
            (*this)({}, value.value);
        } else if constexpr (IsDuration<T>) {
            value = T(*rc::gen::arbitrary<typename T::rep>());
        } else if constexpr (IsTimePoint<T>) {
            value = T(typename T::duration(*rc::gen::arbitrary<typename T::rep>()));
        } else if constexpr (IsOptional<T>) {
            if (*rc::gen::arbitrary<bool>()) {
                (*this)({}, value.emplace());
            }
        } else if constexpr (IsVector<T>) {
            constexpr int MaxItems = 4;
            value.resize(static_cast<std::size_t>(*rc::gen::inRange(0, MaxItems)));
            for (auto &it : value) {
                (*this)({}, it);
            }
        } else if constexpr (IsVariant<T>) {
            fillVariant(value, std::make_index_sequence<std::variant_size_v<T>>());
        } else {
            fields(*this, value);
        }
    }

private:
    template<typename T, std::size_t... Index>
    void fillVariant(T &value, std::index_sequence<Index...> /*all*/)
    {
        const auto chosen = *rc::gen::inRange<std::size_t>(0, sizeof...(Index));
        ((chosen == Index ? (*this)({}, value.template emplace<Index>()) : void()), ...);
    }
};

template<typename T>
T arbitraryValue()
{
    T value;
    ArbitraryFill()({}, value);
    return value;
}

} // namespace

// Equal texts imply equal values, since the writer omits no member; see EveryMemberIsWritten.
RC_GTEST_PROP(RowCodec, RowsRoundTrip, ())
{
    const auto text = encodeRow(arbitraryValue<RowValue>());
    Error reason;
    const auto decoded = decodeRow(text, reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encodeRow(*decoded) == text);
}

RC_GTEST_PROP(RowCodec, RecordsRoundTrip, ())
{
    const auto text = encodeRecord(arbitraryValue<JournalRecord>());
    Error reason;
    const auto decoded = decodeRecord(text, reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encodeRecord(*decoded) == text);
}

RC_GTEST_PROP(RowCodec, SnapshotsRoundTrip, ())
{
    const auto text = encodeSnapshot(arbitraryValue<ShardSnapshot>());
    Error reason;
    const auto decoded = decodeSnapshot(text, reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encodeSnapshot(*decoded) == text);
}

RC_GTEST_PROP(RowCodec, GarbageIsRejectedWithAReason, (const std::string &text))
{
    Error reason;
    RC_ASSERT(!decodeRow(text, reason).has_value());
    RC_ASSERT(!reason.message.empty());
    RC_ASSERT(!decodeRecord(text, reason).has_value());
    RC_ASSERT(!decodeSnapshot(text, reason).has_value());
}

// Decoding a text with one changed byte returns either a value or a reason.
RC_GTEST_PROP(RowCodec, CorruptedTextsGiveAValueOrAReason, (char byte))
{
    auto text = encodeRow(arbitraryValue<RowValue>());
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = byte;
    Error reason;
    const auto decoded = decodeRow(text, reason);
    RC_ASSERT(decoded.has_value() != !reason.message.empty());
}

// Other releases read this format, so the text must not change without a new format number.
TEST(RowCodec, EveryMemberIsWritten)
{
    TurnFinished turn;
    turn.key = CallKey{ProgramId{ShardId{1}, 2}, Turn{3}};
    turn.content = ContentHash{~0ULL, 5};
    turn.input = ModelInput{ModelName{"m"}, {"{}"}, 6};
    turn.outcome = CallResult{200, "text", "stop", 7, 8, 9, Duration(10), Duration(11), Duration(12)};
    turn.server = ServerName{"s"};
    turn.attempt = Attempt{13};
    turn.began = WallTime(std::chrono::milliseconds(14));
    turn.ended = WallTime(std::chrono::milliseconds(15));
    turn.spentTokens = 16;
    const Segment segment{SegmentNumber{17}, RecordNumber{18}, {turn}};
    EXPECT_EQ(encodeRow(segment),
              R"({"format":1,"value":{"first":18,"kind":"segment","number":17,"records":[{"attempt":13,"began":14,)"
              R"("content":{"high":"18446744073709551615","low":5},"ended":15,"input":{"kind":"model","max_tokens":6,"messages":["{}"],)"
              R"("model":"m"},"key":{"program":{"serial":2,"shard":1},"turn":3},"kind":"turn_finished","outcome":{"body":"text",)"
              R"("cached_tokens":8,"completion_tokens":9,"decode":12,"finish_reason":"stop","kind":"result","prefill":11,)"
              R"("prompt_tokens":7,"status":200,"waited":10},"server":"s","spent_tokens":16}]}})");
}

TEST(RowCodec, BytesThatAreNotUtf8AreRestored)
{
    TurnFinished turn;
    turn.outcome = CallResult{200, std::string("\xff\x00\xc3", 3), {}, 0, 0, 0, {}, {}, {}};
    Error reason;
    const auto decoded = decodeRecord(encodeRecord(turn), reason);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(std::get<CallResult>(std::get<TurnFinished>(*decoded).outcome).body, std::string("\xff\x00\xc3", 3));
}

struct BadRow
{
    const char *text;    ///< Text to decode.
    const char *message; ///< Expected error message.
};

class BadRows : public ::testing::TestWithParam<BadRow>
{
};

TEST_P(BadRows, AreRejectedWithThePathOfTheMember)
{
    Error reason;
    EXPECT_FALSE(decodeRow(GetParam().text, reason).has_value());
    EXPECT_EQ(reason.message, GetParam().message);
    EXPECT_EQ(reason.step, Step::Decode);
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    BadRows,
    ::testing::Values(BadRow{"", "not JSON"},
                      BadRow{"[]", "missing or wrong: format"},
                      BadRow{R"({"format":2,"value":{}})", "unknown format 2"},
                      BadRow{R"({"format":1})", "missing or wrong: value"},
                      BadRow{R"({"format":1,"value":{"kind":"nothing"}})", "missing or wrong: value"},
                      BadRow{R"({"format":1,"value":{"kind":"quarantine"}})", "missing or wrong: value.content"},
                      BadRow{R"({"format":1,"value":{"kind":"quarantine","content":{"high":-1}}})", "missing or wrong: value.content.high"},
                      BadRow{R"({"format":1,"value":{"kind":"config","version":1,"classes":{}}})", "missing or wrong: value.classes"},
                      BadRow{R"({"format":1,"value":{"kind":"config","version":1,"classes":[{"name":"c","target":1e3}]}})",
                             "missing or wrong: value.classes.target"},
                      BadRow{R"({"format":1,"value":{"kind":"config","version":1,"classes":[],"servers":[{"name":"s","state":"gone"}]}})",
                             "missing or wrong: value.servers.state"}));

} // namespace Vanillahall
