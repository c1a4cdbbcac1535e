/** Stored conversations: requests at the server, responses to the client and calls to the store. */
#include "proxy_world.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr const char *StreamEnd = "\r\n0\r\n\r\n";

/** @return Script for a stream of one event with this data. */
Script streamOf(const std::string &data)
{
    const std::string event = "id: 1\ndata: " + data + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", event.size());
    return {streamHead() + size.data() + "\r\n" + event + "\r\n0\r\n\r\n"};
}

std::string turn(const std::string &id, const std::string &previous, const std::string &input)
{
    return ProxyWorld::request("POST", "/kept/1", id, previous.empty() ? "" : "Previous-Turn: " + previous + "\r\n", input);
}

bool isWhole(const std::string &answer)
{
    return statusOf(answer) == 200 && answer.find(StreamEnd) != std::string::npos;
}

/** A proxy with servers that record the bodies of their requests. */
struct ConversationWorld
{
    explicit ConversationWorld(const std::function<void(ProxySettings &)> &adjust = {})
        : world(
            [this](const std::string &request) {
                bodies.push_back(bodyOf(request));
                return script.bytes.empty() ? streamOf("out" + std::to_string(bodies.size())) : script;
            },
            adjust)
    {
    }

    std::vector<std::string> bodies; ///< Bodies received by the servers.
    Script script;                   ///< Response of the servers; empty for a different event in each response.
    ProxyWorld world;
};

/** @return Number of rows of a table for turns in the store. */
std::size_t rowCount(const StoreModel &rows, const std::string &table)
{
    return static_cast<std::size_t>(std::count_if(rows.turns.begin(), rows.turns.end(), [&table](const auto &it) {
        return it.first.compare(0, table.size() + 1, table + "/") == 0;
    }));
}

} // namespace

TEST(ProxyConversation, TheServerGetsAllEarlierInputsAndOutputs)
{
    ConversationWorld it;
    ASSERT_TRUE(it.world.start());
    EXPECT_TRUE(isWhole(it.world.ask(turn("t1", "", "in1"))));
    EXPECT_TRUE(isWhole(it.world.ask(turn("t2", "t1", "in2"))));
    EXPECT_TRUE(isWhole(it.world.ask(turn("t3", "t2", "in3"))));
    EXPECT_EQ(it.bodies, (std::vector<std::string>{"in1", "in1out1\nin2", "in1out1\nin2out2\nin3"}));
    // The proxy has the earlier turns in its cache.
    EXPECT_EQ(it.world.rows.turnReads, 0U);
    EXPECT_EQ(it.world.rows.turnWrites, 3U);
    EXPECT_TRUE(it.world.hasLine("1105 request=t3 previous=t2 outcome=kept"));
}

TEST(ProxyConversation, AnotherProxyLoadsTheConversationFromTheStore)
{
    ConversationWorld before;
    ASSERT_TRUE(before.world.start());
    const std::string large(15000, 'x');
    EXPECT_TRUE(isWhole(before.world.ask(turn("t1", "", large))));
    EXPECT_TRUE(isWhole(before.world.ask(turn("t2", "t1", "in2"))));
    ConversationWorld after;
    after.world.rows.turns = before.world.rows.turns;
    ASSERT_TRUE(after.world.start());
    EXPECT_TRUE(isWhole(after.world.ask(turn("t3", "t2", "in3"))));
    EXPECT_EQ(after.bodies.front(), large + "out1\nin2out2\nin3");
    EXPECT_EQ(after.world.rows.turnReads, 2U);
}

TEST(ProxyConversation, ATurnOverSeveralRowsIsLoadedCompletely)
{
    const auto useSmallRows = [](ProxySettings &settings) {
        settings.rowBytes = 12000;
    };
    ConversationWorld before(useSmallRows);
    ASSERT_TRUE(before.world.start());
    std::string large;
    for (int n = 0; large.size() < 19000; n++) {
        large += std::to_string(n) + ",";
    }
    EXPECT_TRUE(isWhole(before.world.ask(turn("t1", "", large))));
    EXPECT_GT(rowCount(before.world.rows, "turns"), 1U);
    ConversationWorld after(useSmallRows);
    after.world.rows.turns = before.world.rows.turns;
    ASSERT_TRUE(after.world.start());
    EXPECT_TRUE(isWhole(after.world.ask(turn("t2", "t1", "in2"))));
    EXPECT_EQ(after.bodies.front(), large + "out1\nin2");
    // One of the turn's rows is missing: the turn can't be loaded, but may still exist.
    ConversationWorld incomplete(useSmallRows);
    incomplete.world.rows.turns = before.world.rows.turns;
    auto row = incomplete.world.rows.turns.lower_bound("turns/");
    ASSERT_NE(row, incomplete.world.rows.turns.end());
    incomplete.world.rows.turns.erase(row);
    ASSERT_TRUE(incomplete.world.start());
    EXPECT_EQ(statusOf(incomplete.world.ask(turn("t2", "t1", "in2"))), 503U);
    EXPECT_TRUE(incomplete.bodies.empty());
}

/** A turn with a Previous-Turn header, and its response. */
struct TurnNameCase
{
    const char *name;
    const char *path;
    const char *headers;
    unsigned status;
};

class ProxyTurnName : public ::testing::TestWithParam<TurnNameCase>
{
};

TEST_P(ProxyTurnName, InvalidNameReachesNoServer)
{
    ConversationWorld it;
    ASSERT_TRUE(it.world.start());
    const auto answer = it.world.ask(ProxyWorld::request("POST", GetParam().path, "t9", GetParam().headers, "in"));
    EXPECT_EQ(statusOf(answer), GetParam().status);
    EXPECT_TRUE(it.bodies.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ProxyTurnName,
    ::testing::Values(TurnNameCase{"unknown", "/kept/1", "Previous-Turn: nobody\r\n", 404},
                      TurnNameCase{"itsOwn", "/kept/1", "Previous-Turn: t9\r\n", 404},
                      TurnNameCase{"empty", "/kept/1", "Previous-Turn: \r\n", 400},
                      TurnNameCase{"withSpace", "/kept/1", "Previous-Turn: a b\r\n", 400},
                      TurnNameCase{"list", "/kept/1", "Previous-Turn: a,b\r\n", 400},
                      TurnNameCase{"twice", "/kept/1", "Previous-Turn: a\r\nPrevious-Turn: a\r\n", 400},
                      TurnNameCase{
                          "long", "/kept/1", "Previous-Turn: 0123456789012345678901234567890123456789012345678901234567890123\r\n", 400},
                      TurnNameCase{"notText", "/kept/1", "Previous-Turn: \xff\xfe\r\n", 400},
                      TurnNameCase{"routeWithoutConversations", "/stream/1", "Previous-Turn: t1\r\n", 400}),
    [](const auto &it) {
        return it.param.name;
    });

TEST(ProxyConversation, ABrokenResponseIsNotStored)
{
    ConversationWorld it;
    it.script = {streamHead() + eventChunk(1), true};
    ASSERT_TRUE(it.world.start());
    EXPECT_EQ(it.world.ask(turn("t1", "", "in1")).find(StreamEnd), std::string::npos);
    EXPECT_EQ(it.world.rows.turnWrites, 0U);
    EXPECT_EQ(statusOf(it.world.ask(turn("t2", "t1", "in2"))), 404U);
    EXPECT_EQ(it.bodies.size(), 1U);
}

TEST(ProxyConversation, AServerErrorIsForwardedAndNotStored)
{
    ConversationWorld it;
    it.script = {"HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 1\r\n\r\nx"};
    ASSERT_TRUE(it.world.start());
    EXPECT_EQ(statusOf(it.world.ask(turn("t1", "", "in1"))), 500U);
    EXPECT_EQ(it.world.rows.turnWrites, 0U);
}

TEST(ProxyConversation, EventsAreForwardedAtOnceAndTheEndWaitsForTheStore)
{
    ConversationWorld it;
    ASSERT_TRUE(it.world.start());
    it.world.rows.holdsTurns = true;
    TestClient client(it.world.loop, it.world.proxy->port());
    client.send(turn("t1", "", "in1"));
    ASSERT_TRUE(it.world.run([&] {
        return it.world.rows.turnWrites != 0;
    }));
    EXPECT_NE(client.received.find("data: out1"), std::string::npos);
    EXPECT_EQ(client.received.find(StreamEnd), std::string::npos);
    it.world.rows.holdsTurns = false;
    EXPECT_TRUE(it.world.run([&] {
        return client.received.find(StreamEnd) != std::string::npos;
    }));
    EXPECT_EQ(rowCount(it.world.rows, "turn_ends"), 1U);
}

TEST(ProxyConversation, AResponseWhoseTurnIsNotStoredNeverLooksComplete)
{
    ConversationWorld it;
    ASSERT_TRUE(it.world.start());
    it.world.rows.refusesTurns = true;
    const auto answer = it.world.ask(ProxyWorld::request("POST", "/kept/1", "t1", "Deadline-Ms: 300\r\n", "in1"));
    EXPECT_EQ(statusOf(answer), 200U);
    EXPECT_EQ(answer.find(StreamEnd), std::string::npos);
    EXPECT_TRUE(it.world.hasLine("outcome=turn_not_kept"));
    it.world.rows.refusesTurns = false;
    EXPECT_EQ(statusOf(it.world.ask(turn("t2", "t1", "in2"))), 404U);
}

TEST(ProxyConversation, ATurnThatWasWrittenButNotAnsweredIsRemoved)
{
    ConversationWorld it;
    ASSERT_TRUE(it.world.start());
    // The store executes each write but doesn't reply.
    it.world.rows.lostTurnReplies = 1000;
    const auto answer = it.world.ask(ProxyWorld::request("POST", "/kept/1", "t1", "Deadline-Ms: 300\r\n", "in1"));
    EXPECT_EQ(answer.find(StreamEnd), std::string::npos);
    EXPECT_TRUE(it.world.run([&] {
        it.world.rows.lostTurnReplies = 0;
        return rowCount(it.world.rows, "turns") == 0;
    }));
}

TEST(ProxyConversation, LostStoreRepliesCauseLittleDelay)
{
    ConversationWorld it;
    ASSERT_TRUE(it.world.start());
    it.world.rows.lostTurnReplies = 2;
    EXPECT_TRUE(isWhole(it.world.ask(turn("t1", "", "in1"))));
}

TEST(ProxyConversation, RowsThatFailTogetherAreAllRetried)
{
    ConversationWorld before;
    before.world.rows.nowMs = 1000000;
    ASSERT_TRUE(before.world.start());
    const std::string large(15000, 'x');
    EXPECT_TRUE(isWhole(before.world.ask(turn("t1", "", large))));
    // The first turn's row would expire too early by now, so it has to be written again with the second turn.
    ConversationWorld after;
    after.world.rows.nowMs = 1000000 + 100000;
    after.world.rows.turns = before.world.rows.turns;
    after.world.rows.refusedTurnWrites = 8;
    ASSERT_TRUE(after.world.start());
    EXPECT_TRUE(isWhole(after.world.ask(turn("t2", "t1", "in2"))));
    EXPECT_EQ(after.world.rows.refusedTurnWrites, 0U);
}

TEST(ProxyConversation, AnUnavailablePartitionOfTheStoreLosesNoTurn)
{
    ConversationWorld before;
    ASSERT_TRUE(before.world.start());
    EXPECT_TRUE(isWhole(before.world.ask(turn("t1", "", "in1"))));
    const auto name = before.world.rows.turns.lower_bound("turns/")->first;
    const auto part = name.substr(6, name.find('/', 6) - 6);
    ConversationWorld during;
    during.world.rows.downPart = part;
    ASSERT_TRUE(during.world.start());
    EXPECT_TRUE(isWhole(during.world.ask(turn("t1", "", "in1"))));
    ConversationWorld after;
    after.world.rows.turns = during.world.rows.turns;
    ASSERT_TRUE(after.world.start());
    EXPECT_TRUE(isWhole(after.world.ask(turn("t2", "t1", "in2"))));
    EXPECT_EQ(after.bodies.front(), "in1out1\nin2");
    // A turn that one partition doesn't have may still exist in the other one, which is unavailable.
    ConversationWorld uncertain;
    uncertain.world.rows.downPart = part;
    ASSERT_TRUE(uncertain.world.start());
    const auto answer = uncertain.world.ask(turn("t2", "t1", "in2"));
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
}

TEST(ProxyConversation, TheNextProxyKnowsTheTokenRowOfTheProgram)
{
    const std::string headers = "Program-Id: p\r\nToken-Usage: 50,20\r\nToken-Budget: 200\r\n";
    ConversationWorld before;
    ASSERT_TRUE(before.world.start());
    EXPECT_TRUE(isWhole(before.world.ask(ProxyWorld::request("POST", "/kept/1", "t1", headers, "in1"))));
    ConversationWorld after;
    after.world.rows.turns = before.world.rows.turns;
    after.world.rows.tokens = before.world.rows.tokens;
    after.world.rows.version = before.world.rows.version;
    ASSERT_TRUE(after.world.start());
    EXPECT_TRUE(isWhole(after.world.ask(ProxyWorld::request("POST", "/kept/1", "t2", headers + "Previous-Turn: t1\r\n", "in2"))));
    EXPECT_EQ(after.world.rows.writes, 1U);
    EXPECT_FALSE(after.world.hasLine("changed_by_another"));
}

TEST(ProxyConversation, ExpiredTurnsAreRemovedUnlessWrittenAgain)
{
    ConversationWorld before;
    before.world.rows.nowMs = 1000000;
    ASSERT_TRUE(before.world.start());
    for (int n = 0; n < 20; n++) {
        EXPECT_TRUE(isWhole(before.world.ask(turn("t" + std::to_string(n), "", "in"))));
    }
    const auto sweepAtOnce = [](ProxySettings &settings) {
        settings.turnSweepCycle = 0s;
    };
    ConversationWorld after(sweepAtOnce);
    after.world.rows.nowMs = 1000000 + 181000;
    after.world.rows.turns = before.world.rows.turns;
    // One of the turns was written again later: its row is newer than its expiry record.
    const auto kept = after.world.rows.turns.lower_bound("turns/")->first;
    after.world.rows.turns[kept].second = 100000;
    ASSERT_TRUE(after.world.start());
    EXPECT_TRUE(after.world.run([&] {
        return rowCount(after.world.rows, "turn_ends") == 0;
    }));
    EXPECT_EQ(rowCount(after.world.rows, "turns"), 1U);
    EXPECT_EQ(after.world.rows.turns.count(kept), 1U);
    // Nothing is removed before it expires.
    ConversationWorld early(sweepAtOnce);
    early.world.rows.nowMs = 1000000 + 179000;
    early.world.rows.turns = before.world.rows.turns;
    ASSERT_TRUE(early.world.start());
    const auto reads = early.world.store.requests.size();
    EXPECT_TRUE(early.world.run([&] {
        return early.world.store.requests.size() > reads + 600;
    }));
    EXPECT_EQ(rowCount(early.world.rows, "turns"), 20U);
}

TEST(ProxyConversation, ATooLongTurnIsRefusedBeforeItRuns)
{
    ConversationWorld it;
    const std::string limit = "\"maxBodyBytes\":20000";
    it.world.rows.config.replace(it.world.rows.config.find(limit), limit.size(), "\"maxBodyBytes\":20000000");
    ASSERT_TRUE(it.world.start());
    TestClient client(it.world.loop, it.world.proxy->port());
    client.sendLater(turn("t1", "", std::string(600000, 'x')));
    EXPECT_TRUE(it.world.run([&] {
        return statusOf(client.received) == 413;
    }));
    EXPECT_TRUE(it.bodies.empty());
}

TEST(ProxyConversation, WithoutTheStoreATurnIsRefusedBeforeItRuns)
{
    ConversationWorld it;
    ASSERT_TRUE(it.world.start());
    it.world.rows.refusesAll = true;
    ASSERT_TRUE(it.world.run([&] {
        return it.world.hasLine("1501 ");
    }));
    const auto answer = it.world.ask(ProxyWorld::request("POST", "/kept/1", "t1", "Deadline-Ms: 300\r\n", "in1"));
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(it.bodies.empty());
    EXPECT_TRUE(it.world.hasLine("outcome=conversation_away"));
}

} // namespace Vanillahall::Forward
