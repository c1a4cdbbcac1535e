/** Calls to the platform's store and rows in it, byte for byte: rows of earlier releases are read, whatever types are called here. */
#include "vanillahall/platform/wire_header_func.h"
#include "vanillahall/platform/wire_turn_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Platform {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t RowBytes = 65536;

// Members are set by position, so that a new name of a member needs no change here.

/** @return The write of a turn with every member set. */
Forward::TurnWrite turnWrite(std::string text)
{
    return {std::make_shared<Forward::StoredTurn>(
                Forward::StoredTurn{"t/1%", {"b1", "b2"}, std::move(text), 123456, "p1", {300, "a/1", 12, "z1", {{"s", "v1"}}}}),
            1};
}

void expectRead(const StoreRequest &call, std::string_view target)
{
    EXPECT_EQ(call.method, "GET");
    EXPECT_EQ(call.target, target);
    EXPECT_EQ(call.body, "");
}

void expectWrite(const StoreRequest &call, std::string_view body)
{
    EXPECT_EQ(call.method, "POST");
    EXPECT_EQ(call.target, "/api/rows-tx");
    EXPECT_EQ(call.body, body);
}

} // namespace

TEST(FixedCalls, ThatReadAreAsBefore)
{
    expectRead(readConfigCall(), "/api/rows-get?table=op&part=&from=config&to=config%00&limit=1");
    expectRead(readServersCall("a b"), "/api/rows-get?table=servers&part=&limit=500&from=a%20b%00");
    expectRead(watchConfigCall(7, 2500ms), "/api/rows-feed?table=op&after=7&waitMs=2500");
    expectRead(watchServersCall(7, 2500ms), "/api/rows-feed?table=servers&after=7&waitMs=2500");
    expectRead(readTokenRowCall("p 1"), "/api/rows-get?table=token_budgets&part=p151&from=p%201&to=p%201%00&limit=1");
    expectRead(readTokenPartCall(515, "p/1"), "/api/rows-get?table=token_budgets&part=p3&limit=500&from=p%2F1%00");
    expectRead(readMembersCall("eu 1", "vm-1"), "/api/rows-get?table=proxies&part=eu%201&limit=500&from=vm-1%00");
    expectRead(readCrashesCall("abc/vm-1/42/7"), "/api/rows-get?table=broken_contents&part=&limit=500&from=abc%2Fvm-1%2F42%2F7%00");
    expectRead(readTurnCall({"t/1%", 0}), "/api/rows-get?table=turns&part=t460&from=t%252F1%2525%2F&to=t%252F1%25250&limit=500");
    expectRead(readTurnCall({"t/1%", 1}), "/api/rows-get?table=turns&part=t424&from=t%252F1%2525%2F&to=t%252F1%25250&limit=500");
    expectRead(readExpiredTurnsCall(515, 123456, "0000000000000100/t/"),
               "/api/rows-get?table=turn_ends&part=t3&to=0000000000123456&from=0000000000000100%2Ft%2F%00&limit=500");
}

TEST(FixedCalls, ThatWriteAreAsBefore)
{
    const Forward::TokenWrite tokens{"p1", {300, "a/1", 12, "z1", {{"s", "v1"}}}};
    const Forward::ProxyMember member{"vm-1", "10.0.0.1", 7000, 9};
    const ExpiredTurn due{"0000000000123456/t/", "t/", 2, 5};
    expectWrite(writeTokenRowCall(tokens, 7000),
                R"({"expect":[{"key":"p1","part":"p356","table":"token_budgets","ver":12}],"remove":[],"writes":[{"key":"p1",)"
                R"("part":"p356","table":"token_budgets",)"
                R"("value":"eyJhdCI6NzAwMCwiYmVndW4iOltbInMiLCJ2MSJdXSwiaG9tZSI6InoxIiwicmVzZXJ2ZWQiOjMwMCwid3JpdGVyIjoiYS8xIn0="}]})");
    expectWrite(removeTokenRowsCall({tokens}),
                R"({"expect":[{"key":"p1","part":"p356","table":"token_budgets","ver":12}],"remove":[{"key":"p1","part":"p356",)"
                R"("table":"token_budgets"}],"writes":[]})");
    expectWrite(writeMemberCall("eu", member),
                R"({"expect":[],"remove":[],"writes":[{"key":"vm-1","part":"eu","table":"proxies",)"
                R"("value":"eyJhZGRyZXNzIjoiMTAuMC4wLjEiLCJwb3J0Ijo3MDAwfQ=="}]})");
    expectWrite(removeMembersCall("eu", {member}),
                R"({"expect":[{"key":"vm-1","part":"eu","table":"proxies","ver":9}],"remove":[{"key":"vm-1","part":"eu",)"
                R"("table":"proxies"}],"writes":[]})");
    expectWrite(writeCrashesCall({{{0xabc, 7}, "vm-1/42", std::chrono::milliseconds(5000)}}),
                R"({"expect":[],"remove":[],"writes":[{"key":"abc/vm-1/42/7","part":"","table":"broken_contents",)"
                R"("value":"eyJhdCI6NTAwMH0="}]})");
    expectWrite(removeCrashesCall({"abc/vm-1/42/7"}),
                R"({"expect":[],"remove":[{"key":"abc/vm-1/42/7","part":"","table":"broken_contents"}],"writes":[]})");
    expectWrite(writeTurnCall(turnWrite("in\nout\xff"), RowBytes),
                R"({"expect":[],"remove":[],"writes":[{"key":"t%2F1%25/000","part":"t424","table":"turns","value":"eyJiYXNlcyI6WyJiMSI)"
                R"(sImIyIl0sImJ5dGVzIjo3LCJwaWVjZXMiOjEsInByb2dyYW0iOiJwMSIsInRva2VucyI6eyJiZWd1biI6W1sicyIsInYxIl1dLCJob21lIjoiejEiLC)"
                R"(JyZXNlcnZlZCI6MzAwLCJ2ZXIiOjEyLCJ3cml0ZXIiOiJhLzEifSwidW50aWwiOjEyMzQ1Nn0KaW4Kb3V0/w=="},{"key":"0000000000123456/t)"
                R"(%2F1%25/","part":"t424","table":"turn_ends","value":"MQ=="}]})");
    expectWrite(removeTurnCall({"t/1%", 1}, 2),
                R"({"expect":[],"remove":[{"key":"t%2F1%25/000","part":"t424","table":"turns"},{"key":"t%2F1%25/001",)"
                R"("part":"t424","table":"turns"}],"writes":[]})");
    expectWrite(removeExpiredTurnsCall(515, {due}),
                R"({"expect":[{"key":"t/000","part":"t3","table":"turns","ver":5}],"remove":[{"key":"t/000","part":"t3",)"
                R"("table":"turns"},{"key":"t/001","part":"t3","table":"turns"},{"key":"0000000000123456/t/","part":"t3",)"
                R"("table":"turn_ends"}],"writes":[]})");
    expectWrite(removeExpiryRecordsCall(515, {due}),
                R"({"expect":[],"remove":[{"key":"0000000000123456/t/","part":"t3","table":"turn_ends"}],"writes":[]})");
}

TEST(FixedTurn, IsSplitIntoRowsAsBefore)
{
    // The first row holds 1024 letters behind its first line, the second the last one.
    std::string first;
    for (int n = 0; n < 1023; n += 3) {
        first += "eHh4";
    }
    const auto call = writeTurnCall(turnWrite(std::string(1025, 'x')), 0);
    const auto at = call.body.find(first);
    ASSERT_NE(at, std::string::npos);
    EXPECT_EQ(call.body.substr(0, at),
              R"({"expect":[],"remove":[],"writes":[{"key":"t%2F1%25/000","part":"t424","table":"turns",)"
              R"("value":"eyJiYXNlcyI6WyJiMSIsImIyIl0sImJ5dGVzIjoxMDI1LCJwaWVjZXMiOjIsInByb2dyYW0iOiJwMSIsInRva2VucyI6eyJiZWd1)"
              R"(biI6W1sicyIsInYxIl1dLCJob21lIjoiejEiLCJyZXNlcnZlZCI6MzAwLCJ2ZXIiOjEyLCJ3cml0ZXIiOiJhLzEifSwidW50aWwiOjEyMzQ1Nn0K)");
    EXPECT_EQ(call.body.substr(at + first.size()),
              R"(eA=="},{"key":"t%2F1%25/001","part":"t424","table":"turns","value":"eA=="},)"
              R"({"key":"0000000000123456/t%2F1%25/","part":"t424","table":"turn_ends","value":"Mg=="}]})");
}

namespace {

constexpr const char *Rows = R"({"rows":[{"key":"k","value":"dg==","ver":3},{"key":"l","ver":4,"removed":true}],)"
                             R"("nowMs":5,"hasMore":true,"ver":6})";

/** @return A row as the store gives it. */
StoreRow stored(std::string key, std::string value)
{
    return {std::move(key), std::move(value), 9, false};
}

} // namespace

TEST(FixedRows, OfTheStoreAreReadAsBefore)
{
    Error reason;
    const auto rows = decodeRows(Rows, reason);
    ASSERT_TRUE(rows && rows->rows.size() == 2) << reason.message;
    const auto &[list, nowMs, hasMore, version] = *rows;
    EXPECT_EQ(std::tie(list[0].key, list[0].value, list[0].version, list[0].isRemoved), std::make_tuple("k", "v", 3U, false));
    EXPECT_EQ(std::tie(list[1].key, list[1].value, list[1].version, list[1].isRemoved), std::make_tuple("l", "", 4U, true));
    EXPECT_EQ(std::tie(nowMs, hasMore, version), std::make_tuple(5U, true, 6U));
    EXPECT_TRUE(isConfigRow(stored("config", "")));
}

TEST(FixedRows, OfProxiesAndProgramsAreReadAsBefore)
{
    Error reason;
    const auto member = decodeMember(stored("vm-1", R"({"address":"10.0.0.1","port":7000})"), reason);
    ASSERT_TRUE(member) << reason.message;
    const auto &[name, address, port, memberVersion] = *member;
    EXPECT_EQ(std::tie(name, address, port, memberVersion), std::make_tuple("vm-1", "10.0.0.1", 7000U, 9U));
    const auto tokens = decodeTokenRow(stored("p1", R"({"at":7000,"home":"z1","reserved":300,"writer":"a/1"})"), reason);
    ASSERT_TRUE(tokens) << reason.message;
    const auto &[reserved, writer, tokenVersion, home, begun, returned, holders, outage, marks, markedSince] = *tokens;
    // Nothing shows which writes are in the row.
    EXPECT_EQ(markedSince, std::nullopt);
    EXPECT_TRUE(marks.empty());
    EXPECT_EQ(outage, std::nullopt);
    EXPECT_EQ(returned, 0U);
    EXPECT_TRUE(holders.empty());
    EXPECT_EQ(std::tie(reserved, writer, tokenVersion, home), std::make_tuple(300U, "a/1", 9U, "z1"));
    // Rows of older releases don't name the versions at which streams have begun.
    EXPECT_EQ(begun, std::vector<Forward::SoftwareVersion>(1));
    const auto crash = decodeCrash(stored("abc/vm-1/42/7", R"({"at":5000})"), reason);
    ASSERT_TRUE(crash) << reason.message;
    const auto &[record, process, at, span, crashedServer, features, isHarmless] = *crash;
    EXPECT_EQ(std::tie(record, process), std::make_tuple(Forward::CrashRecord{0xabc, 7}, "vm-1/42"));
    EXPECT_EQ(at, std::chrono::milliseconds(5000));
    // Rows of older releases name neither server nor features.
    EXPECT_EQ(std::tie(crashedServer, isHarmless), std::make_tuple(0U, false));
    EXPECT_EQ(span, std::chrono::milliseconds(0));
    EXPECT_TRUE(features.empty());
    EXPECT_EQ(Forward::contentHash("POST", "/a", "p1", "body"), 1594979948787348623U);
}

TEST(FixedRows, OfTurnsAreReadAsBefore)
{
    StoreRows rows;
    rows.rows = {stored("t%2F1%25/000",
                        R"({"bases":["b1","b2"],"bytes":6,"pieces":2,"program":"p1",)"
                        R"("tokens":{"home":"z1","reserved":300,"ver":12,"writer":"a/1"},"until":123456})"
                        "\nin\n"),
                 stored("t%2F1%25/001", "out")};
    Error reason;
    const auto turn = decodeTurn({"t/1%", 1}, rows, reason);
    ASSERT_TRUE(turn && *turn) << reason.message;
    const auto &[id, bases, text, until, program, tokens] = **turn;
    const auto &[reserved, writer, version, home, begun, returned, holders, outage, writeMarks, markedSince] = tokens;
    EXPECT_EQ(markedSince, std::nullopt);
    EXPECT_TRUE(writeMarks.empty());
    EXPECT_EQ(outage, std::nullopt);
    EXPECT_EQ(returned, 0U);
    EXPECT_TRUE(holders.empty());
    EXPECT_EQ(std::tie(id, text, until, program), std::make_tuple("t/1%", "in\nout", 123456U, "p1"));
    EXPECT_EQ(bases, (std::vector<std::string>{"b1", "b2"}));
    EXPECT_EQ(std::tie(reserved, writer, version, home), std::make_tuple(300U, "a/1", 12U, "z1"));
    EXPECT_EQ(begun, std::vector<Forward::SoftwareVersion>(1));
    StoreRows marks;
    marks.rows = {stored("0000000000123456/t%2F1%25/", "2")};
    const auto due = decodeExpiredTurns(marks, reason);
    ASSERT_EQ(due.size(), 1U) << reason.message;
    const auto &[expiryKey, turnKey, pieces, markVersion] = due[0];
    EXPECT_EQ(std::tie(expiryKey, turnKey, pieces, markVersion), std::make_tuple("0000000000123456/t%2F1%25/", "t%2F1%25/", 2U, 9U));
}

TEST(FixedRows, OfServersAreReadAsBefore)
{
    Error reason;
    const auto server
        = decodeServer("i-1",
                       R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":24,"state":"draining","born":17,)"
                       R"("models":[{"name":"m","version":1},{"name":"n","version":2}],"coldLeftMs":50,"version":"v1","seq":7})",
                       reason);
    ASSERT_TRUE(server) << reason.message;
    const auto &[id, service, address, port, zone, slots, isDraining, coldLeft, startedMs, sequence, models, software] = *server;
    EXPECT_EQ(std::tie(id, service, address, port, zone), std::make_tuple("i-1", "s", "10.0.0.9", 8080U, "z"));
    EXPECT_EQ(std::tie(slots, isDraining, coldLeft, startedMs, sequence), std::make_tuple(24U, true, 50ms, 17U, 7U));
    EXPECT_EQ(models, (std::vector<std::string>{"m", "n"}));
    EXPECT_EQ(software, "v1");
}

TEST(FixedRows, OfTheConfigurationAreReadAsBefore)
{
    Error reason;
    const auto config
        = decodeConfig(R"({"version":7,"routes":[{"name":"r","host":"Ficu.Example","prefix":"/a/","kind":"streaming","resumable":true,)"
                       R"("timeoutMs":4000,"sloMs":250,"priority":1,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
                       R"("maxAttempts":2,"stateful":true,"sticky":true,"retentionS":60},)"
                       R"({"host":"h","prefix":"/","kind":"streaming","service":"s"},)"
                       R"({"host":"h","prefix":"/","kind":"idempotent","service":"s"},)"
                       R"({"host":"h","prefix":"/","kind":"non_idempotent","service":"s"}],)"
                       R"("services":[{"name":"s","maxConns":210,"engine":{"slots":24,"kvCapacity":144781,"tokensPerEvent":7}}],)"
                       R"("limits":{"maxHeaderBytes":16385,"maxBodyBytes":1000,"headerTimeoutMs":3001,"idleTimeoutMs":15001}})",
                       reason);
    ASSERT_TRUE(config && config->routes.size() == 4 && config->services.count("s") == 1) << reason.message;
    EXPECT_EQ(config->version, 7U);
    const auto &[name, host, prefix, repetition, timeLimit, objective, rank, targets, maxAttempts, keeps, retention, sticky, needsKey]
        = config->routes[0];
    EXPECT_EQ(std::tie(name, host, prefix, repetition), std::make_tuple("r", "ficu.example", "/a/", Forward::Repetition::Resumable));
    EXPECT_EQ(std::tie(timeLimit, objective, rank, maxAttempts, keeps, retention, sticky, needsKey),
              std::make_tuple(4s, 250ms, 1U, 2U, true, 60s, true, true));
    ASSERT_EQ(targets.size(), 2U);
    EXPECT_EQ(std::tie(targets[0].service, targets[0].weight, targets[1].service), std::make_tuple("s", 90U, "t"));
    EXPECT_FALSE(config->routes[1].isSticky);
    EXPECT_EQ(config->routes[1].repetition, Forward::Repetition::Stream);
    EXPECT_EQ(config->routes[2].repetition, Forward::Repetition::Idempotent);
    EXPECT_EQ(config->routes[3].repetition, Forward::Repetition::NonIdempotent);
    const auto &[maxConnections, slots, memoryTokens, tokensPerEvent] = config->services.at("s");
    EXPECT_EQ(std::tie(maxConnections, slots, memoryTokens, tokensPerEvent), std::make_tuple(210U, 24U, 144781U, 7U));
    const auto &[maxHeader, maxBody, headerTimeout, idleTimeout] = config->limits;
    EXPECT_EQ(std::tie(maxHeader, maxBody, headerTimeout, idleTimeout), std::make_tuple(16385U, 1000U, 3001ms, 15001ms));
}

TEST(FixedHeaders, AreWrittenAndReadAsBefore)
{
    EXPECT_EQ(resumeHeader(12), "Last-Event-Id: 12\r\n");
    EXPECT_EQ(RequestIdHeader, "Request-Id");
    EXPECT_EQ(RetryAfterHeader, "Retry-After");
    EXPECT_EQ(ReadinessPath, "/api/readiness");
    Forward::RequestAttributes attributes;
    readRequestHeader(attributes, "Session-Id", "s1");
    readRequestHeader(attributes, "Model", "m1");
    readRequestHeader(attributes, "Previous-Turn", "t1");
    EXPECT_EQ(std::tie(attributes.session, attributes.model, attributes.previousTurn), std::make_tuple("s1", "m1", "t1"));
}

} // namespace Vanillahall::Platform
