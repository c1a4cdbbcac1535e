/** Rows, objects and calls of the store, byte for byte: rows of earlier releases are read, whatever types and members are called here. */
#include "vanillahall/adapters/row_codec_func.h"
#include "vanillahall/adapters/store_client_base.h"
#include "vanillahall/core/config_updater_base.h"
#include "vanillahall/core/id_func.h"
#include "vanillahall/core/shard_log_func.h"

#include "adapter_bench.h"
#include "net/raw_socket.h"
#include "table/enum_name.h"

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

constexpr std::uint64_t Large = (std::uint64_t{1} << 53) + 1; ///< Written as text.

WallTime wall(std::int64_t ms)
{
    return WallTime(std::chrono::milliseconds(ms));
}

// Members are set by position, so that a new name of a member needs no change here.

JournalRecord created()
{
    return ProgramCreated{{{1}, 2}, {{3}, 4}, {"c"}, {"k"}, {5, 6, std::chrono::milliseconds(7)}, wall(8), {9, Large}};
}

JournalRecord ended()
{
    return ProgramEnded{{{1}, 2}, wall(3)};
}

void expectRow(const RowValue &value, std::string_view text)
{
    EXPECT_EQ(encodeRow(value), text);
    Error reason;
    const auto row = decodeRow(text, reason);
    ASSERT_TRUE(row) << reason.message << ": " << text;
    EXPECT_EQ(row->index(), value.index());
    EXPECT_EQ(encodeRow(*row), text);
}

void expectRecord(const JournalRecord &record, std::string_view text)
{
    expectRow(Segment{{1}, {2}, {record}},
              R"({"format":1,"value":{"first":2,"kind":"segment","number":1,"records":[)" + std::string(text) + "]}}");
}

} // namespace

TEST(FixedRows, AreWrittenAndReadAsBefore)
{
    const ClassTarget target{{"k"}, std::chrono::milliseconds(2)};
    const ServerDeclaration leaving{{"s"}, ServerState::Leaving};
    expectRow(LeaseRow{{1}, {"e"}, {2}, {3}, 4, {{"f"}, {"g"}}, {5}, {6}, {7}, {"snap/1"}, true},
              R"({"format":1,"value":{"commit":4,"epoch":3,"incarnation":2,"kind":"lease","last_record":6,"last_segment":5,)"
              R"("owner":"e","retired":true,"shard":1,"snapshot":"snap/1","snapshot_segment":7,"successors":["f","g"]}})");
    expectRow(
        ConfigRow{
            {1}, {target}, {leaving, {{"t"}, ServerState::Coming}}, {{{3}, "op", wall(4), target, 5}, {{6}, "oq", wall(7), leaving, 8}}},
        R"({"format":1,"value":{"classes":[{"name":"k","target":2}],"history":[{"at":4,"change":{"kind":"class_target",)"
        R"("name":"k","target":2},"operator_name":"op","request_number":5,"version":3},{"at":7,)"
        R"("change":{"kind":"server_declaration","name":"s","state":"leaving"},"operator_name":"oq","request_number":8,)"
        R"("version":6}],"kind":"config","servers":[{"name":"s","state":"leaving"},{"name":"t","state":"coming"}],)"
        R"("version":1}})");
    expectRow(QuarantineRow{{1, 2}, {{"s"}, {"t"}}, wall(3), true},
              R"({"format":1,"value":{"content":{"high":1,"low":2},"kind":"quarantine","lifted":true,"servers":["s","t"],)"
              R"("until":3}})");
    expectRow(Segment{{1}, {2}, {created(), ended()}},
              R"({"format":1,"value":{"first":2,"kind":"segment","number":1,"records":[{"began":8,"budget":{"calls":6,"time":7,)"
              R"("tokens":5},"class_name":"k","customer":"c","kind":"program_created","parent":{"serial":4,"shard":3},)"
              R"("program":{"serial":2,"shard":1},"request":{"high":9,"low":"9007199254740993"}},{"ended":3,)"
              R"("kind":"program_ended","program":{"serial":2,"shard":1}}]}})");
}

TEST(FixedRecords, AreWrittenAndReadAsBefore)
{
    const CallKey key{{{1}, 2}, {3}};
    const ModelInput model{{"m"}, {"{\"a\":1}", "{\"b\":\"\xc3\xa4\\n\"}"}, 10};
    const ServiceCall service{{"v"}, "o", "{}", true};
    const CallResult result{200, "text", "stop", 11, 12, 13, Duration(14), Duration(15), Duration(16)};
    const Error error{ErrorCode::ServerFailed, RunState::Unknown, Step::Run, "p", "why", Duration(10)};
    expectRecord(created(),
                 R"({"began":8,"budget":{"calls":6,"time":7,"tokens":5},"class_name":"k","customer":"c","kind":"program_created",)"
                 R"("parent":{"serial":4,"shard":3},"program":{"serial":2,"shard":1},"request":{"high":9,)"
                 R"("low":"9007199254740993"}})");
    expectRecord(CallIntended{key, {4}, {5, 6}, {"s"}, {7}, service, wall(8)},
                 R"({"attempt":4,"began":8,"content":{"high":5,"low":6},"incarnation":7,"input":{"body":"{}","operation":"o",)"
                 R"("repeatable":true,"service":"v"},"key":{"program":{"serial":2,"shard":1},"turn":3},"kind":"call_intended",)"
                 R"("server":"s"})");
    expectRecord(TurnFinished{key, {4, 5}, model, result, {"s"}, {6}, wall(7), wall(8), 9},
                 R"({"attempt":6,"began":7,"content":{"high":4,"low":5},"ended":8,"input":{"kind":"model","max_tokens":10,)"
                 R"("messages":["{\"a\":1}","{\"b\":\"ä\\n\"}"],"model":"m"},"key":{"program":{"serial":2,"shard":1},"turn":3},)"
                 R"("kind":"turn_finished","outcome":{"body":"text","cached_tokens":12,"completion_tokens":13,"decode":16,)"
                 R"("finish_reason":"stop","kind":"result","prefill":15,"prompt_tokens":11,"status":200,"waited":14},"server":"s",)"
                 R"("spent_tokens":9})");
    expectRecord(TurnFinished{key, {4, 5}, service, error, {"s"}, {6}, wall(7), wall(8), 9},
                 R"({"attempt":6,"began":7,"content":{"high":4,"low":5},"ended":8,"input":{"body":"{}","kind":"service",)"
                 R"("operation":"o","repeatable":true,"service":"v"},"key":{"program":{"serial":2,"shard":1},"turn":3},)"
                 R"("kind":"turn_finished","outcome":{"code":"server_failed","kind":"error","message":"why","peer":"p",)"
                 R"("retry_after":10,"run":"unknown","step":"run"},"server":"s","spent_tokens":9})");
    expectRecord(OutcomeSettled{key, true, "op"},
                 R"({"key":{"program":{"serial":2,"shard":1},"turn":3},"kind":"outcome_settled","operator_name":"op","ran":true})");
    expectRecord(OutcomeSettled{key, false, "\xff"},
                 R"({"key":{"program":{"serial":2,"shard":1},"turn":3},"kind":"outcome_settled","operator_name":{"hex":"ff"},)"
                 R"("ran":false})");
    expectRecord(ended(), R"({"ended":3,"kind":"program_ended","program":{"serial":2,"shard":1}})");
    EXPECT_EQ(encodeRecord(ended()), R"({"format":1,"value":{"ended":3,"kind":"program_ended","program":{"serial":2,"shard":1}}})");
}

TEST(FixedSnapshot, IsWrittenAndReadAsBefore)
{
    constexpr const char *Text
        = R"({"format":1,"value":{"records":[{"began":8,"budget":{"calls":6,"time":7,"tokens":5},"class_name":"k",)"
          R"("customer":"c","kind":"program_created","parent":{"serial":4,"shard":3},"program":{"serial":2,"shard":1},)"
          R"("request":{"high":9,"low":"9007199254740993"}},{"ended":3,"kind":"program_ended","program":{"serial":2,)"
          R"("shard":1}}],"up_to":1,"up_to_record":2}})";
    EXPECT_EQ(encodeSnapshot({{1}, {2}, {created(), ended()}}), Text);
    Error reason;
    const auto snapshot = decodeSnapshot(Text, reason);
    ASSERT_TRUE(snapshot) << reason.message;
    EXPECT_EQ(encodeSnapshot(*snapshot), Text);
}

TEST(FixedKeys, AreAsBefore)
{
    EXPECT_EQ(configKey().text, "config/head");
    EXPECT_EQ(leaseKey({0xabc}).text, "lease/0000000000000abc");
    EXPECT_EQ(segmentKey({0xabc}, {17}).text, "seg/0000000000000abc/00000000000000000017");
    EXPECT_EQ(leaseScan({0xabc}).to.text, "lease0");
    EXPECT_EQ(toText(ProgramId{{0xabc}, 0xdef}), "0000000000000abc-0000000000000def");
    EXPECT_EQ(toText(ShardId{contentHash("content").high}) + toText(ShardId{contentHash("content").low}),
              "917e1274274fc195b27a2d2388d9568c");
}

namespace {

/** @return The names of all enumerators in order, each followed by a blank. */
template<typename Enum>
std::string namesOf()
{
    std::string names;
    for (std::size_t n = 0; n < EnumCount<Enum>; n++) {
        names.append(toText(static_cast<Enum>(n))).append(" ");
        EXPECT_EQ(enumFromText<Enum>(toText(static_cast<Enum>(n))), static_cast<Enum>(n));
    }
    return names;
}

} // namespace

// Rows hold the names, messages between processes the numbers.
TEST(FixedEnumerators, HaveTheNamesAndNumbersOfBefore)
{
    EXPECT_EQ(namesOf<RunState>(), "not_run ran unknown ");
    EXPECT_EQ(namesOf<Step>(),
              "decode authenticate route forward admit reserve intent place dispatch queue run resume commit takeover configure end ");
    EXPECT_EQ(namesOf<ErrorCode>(),
              "bad_request unauthorized forbidden not_found conflict turn_gap turn_busy program_ended budget_exceeded too_large overloaded "
              "target_impossible stopping no_server stale_epoch order_expired wrong_incarnation not_holder holder_unknown "
              "store_unavailable version_mismatch timeout cancelled server_failed server_refused quarantined peer_lost internal ");
    EXPECT_EQ(namesOf<ServerState>(), "coming leaving ");
    EXPECT_EQ(namesOf<VmState>(), "live leaving ");
    EXPECT_EQ(namesOf<VmRole>(), "entry server ");
}

namespace {

void expectSent(const StoreRequest &request, std::string_view line, std::string_view body)
{
    const RawListener listener;
    Loop loop;
    HttpClient http(loop);
    StoreClient client(http, PlatformPeer{"peer", "127.0.0.1", listener.port(), false, {}});
    client.send(request, LongLimit, [](StoreAnswer && /*answer*/) {});
    int fd = -1;
    ASSERT_TRUE(runUntil(loop, [&] {
        fd = fd >= 0 ? fd : listener.accept();
        return fd >= 0;
    }));
    RawSocket socket(fd);
    std::size_t head = std::string::npos;
    ASSERT_TRUE(runUntil(loop, [&] {
        head = socket.text().find("\r\n\r\n");
        return head != std::string::npos && socket.text().size() >= head + 4 + body.size();
    })) << socket.text();
    EXPECT_EQ(socket.text().substr(0, line.size() + 2), std::string(line) + "\r\n");
    EXPECT_EQ(socket.text().substr(head + 4), body);
}

} // namespace

TEST(FixedCalls, AreSentAsBefore)
{
    const StoreTransaction transaction{{{{"a"}, {1}}, {{"b"}, {0}}}, {{{"a"}, Segment{{1}, {2}, {ended()}}}}, {{"c"}, {"d"}}};
    expectSent(transaction,
               "POST /v1/tx HTTP/1.1",
               R"({"conditions":[{"key":"a","version":1},{"key":"b","version":0}],"puts":[{"key":"a","value":{"format":1,)"
               R"("value":{"first":2,"kind":"segment","number":1,"records":[{"ended":3,"kind":"program_ended",)"
               R"("program":{"serial":2,"shard":1}}]}}}],"removes":["c","d"]})");
    expectSent(StoreGet{{"a/1 \xc3\xbc&"}}, "GET /v1/rows/a%2F1%20%C3%BC%26 HTTP/1.1", "");
    expectSent(StoreScan{{"a/1"}, {"b"}, 5}, "GET /v1/rows?from=a%2F1&to=b&limit=5 HTTP/1.1", "");
    expectSent(ObjectPut{{"o/1"}, {{1}, {2}, {ended()}}},
               "PUT /v1/objects/o%2F1 HTTP/1.1",
               R"({"format":1,"value":{"records":[{"ended":3,"kind":"program_ended","program":{"serial":2,"shard":1}}],)"
               R"("up_to":1,"up_to_record":2}})");
    expectSent(ObjectGet{{"o/1"}}, "GET /v1/objects/o%2F1 HTTP/1.1", "");
    expectSent(ObjectRemove{{"o/1"}}, "DELETE /v1/objects/o%2F1 HTTP/1.1", "");
}

} // namespace Vanillahall
