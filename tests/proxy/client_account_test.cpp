#include "client_account.h"
#include "request_reader.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t Mb = std::size_t{1024} * 1024;

TimePoint at(int ms)
{
    return TimePoint() + std::chrono::milliseconds(ms);
}

/** A choice among clients, and the sessions that have to be closed. */
struct Choice
{
    const char *name;
    std::vector<ClosableClient> clients;
    std::size_t amount; ///< Bytes, or number of connections.
    std::vector<std::uint64_t> closed;
};

class MemoryChoice : public testing::TestWithParam<Choice>
{
};

class AcceptChoice : public testing::TestWithParam<Choice>
{
};

const auto nameOf = [](const auto &it) {
    return it.param.name;
};

} // namespace

// Guards against the refusal of an ordinary client while stalled ones hold the memory.
TEST_P(MemoryChoice, ClosesThoseThatHoldMostForLongest)
{
    EXPECT_EQ(selectForMemory(GetParam().clients, GetParam().amount, at(2000)), GetParam().closed);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    MemoryChoice,
    testing::Values(Choice{"stalled_before_active", {{1, Mb, at(0), at(1990)}, {2, Mb, at(0), at(100)}}, 1, {2}},
                    Choice{"old_before_new", {{1, 4 * Mb, at(1990), at(1990)}, {2, Mb, at(0), at(0)}}, 1, {2}},
                    Choice{"large_before_small", {{1, 500, at(0), at(0)}, {2, Mb, at(1900), at(1900)}}, 1, {2}},
                    Choice{"at_one_instant", {{1, 500, at(2000), at(2000)}, {2, Mb, at(2000), at(2000)}}, 1, {2}},
                    Choice{"until_enough", {{1, Mb, at(0), at(0)}, {2, Mb, at(1), at(1)}, {3, Mb, at(2), at(2)}}, Mb + 1, {1, 2}},
                    Choice{"little_is_left_alone", {{1, 500, at(0), at(0)}, {2, MinClosedBytes, at(9), at(9)}}, Mb, {2}}),
    nameOf);

// Guards against newcomers that are turned away, or served clients that are closed, while others occupy connections without a request.
TEST_P(AcceptChoice, ClosesThoseWithLeastProgress)
{
    EXPECT_EQ(selectForConnections(GetParam().clients, GetParam().amount), GetParam().closed);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    AcceptChoice,
    testing::Values(Choice{"closing_first", {{1, 0, at(0), at(0)}, {2, 0, at(0), at(9), true}}, 1, {2}},
                    Choice{"never_served_before_served", {{1, 0, at(0), at(0), false, true}, {2, 0, at(0), at(9)}}, 1, {2}},
                    Choice{"longest_without_progress", {{1, 0, at(0), at(5)}, {2, 0, at(0), at(4)}, {3, 0, at(0), at(6)}}, 2, {2, 1}},
                    Choice{"not_more_than_there_are", {{1, 0, at(0), at(5)}}, 3, {1}}),
    nameOf);

// Guards against sums that drift: whatever an owner held is released with it.
TEST(ClientAccount, SumsFollowTheOwners)
{
    const auto shared = std::make_shared<ClientAccount>(1000);
    const ClientAccount &account = *shared;
    {
        HeldBytes head(shared, Holding::Head);
        HeldBytes response(shared, Holding::Response);
        head.set(600);
        EXPECT_TRUE(account.isShort());
        EXPECT_FALSE(account.isOver());
        response.set(500);
        head.set(700);
        EXPECT_EQ(account.bytes(Holding::Head), 700U);
        EXPECT_EQ(account.total(), 1200U);
        EXPECT_EQ(account.excess(), 325U);
    }
    EXPECT_EQ(account.total(), 0U);
    EXPECT_EQ(account.excess(), 0U);
}

// Guards against heads of permitted size whose parsed fields take many times that size.
TEST(RequestFields, AreLimitedInNumber)
{
    const std::string start = "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n";
    for (const auto &[fields, progress] :
         {std::pair{2000, RequestReader::Progress::Complete}, std::pair{2100, RequestReader::Progress::Invalid}}) {
        std::string in = start;
        for (int n = 0; n < fields; n++) {
            in += "a:b\r\n";
        }
        in += "\r\n";
        RequestReader reader;
        EXPECT_EQ(reader.read(in, {}, TimePoint()), progress) << fields;
    }
}

} // namespace Vanillahall::Forward
