#include "vanillahall/core/program_registry_base.h"

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

constexpr ShardId TestShard{5};

std::string describe(const TurnRecord &turn)
{
    std::ostringstream buf;
    buf << turn.content.low << ' ' << turn.server.text << ' ' << turn.incarnation.value << ' ' << turn.attempt.value << ' '
        << turn.began.time_since_epoch().count() << ' ' << turn.ended.time_since_epoch().count() << ' ' << turn.spentTokens << ' '
        << turn.settledBy << ' ' << turn.input.index();
    if (turn.outcome) {
        const Error *error = findError(*turn.outcome);
        buf << ' ' << (error == nullptr ? std::get<CallResult>(*turn.outcome).body : std::to_string(static_cast<int>(error->run)));
    }
    return buf.str();
}

/** @return The whole state of a registry as text. */
std::string describe(const ProgramRegistry &registry)
{
    std::ostringstream buf;
    for (const auto &[id, program] : registry.programs()) {
        buf << id.serial << ' ' << program.parent.serial << ' ' << program.root.serial << ' ' << program.customer.text << ' '
            << program.request.low << ' ' << program.budget.tokens << ' ' << program.ended.has_value() << '\n';
        for (const ProgramId &child : program.children) {
            buf << "  child " << child.serial << '\n';
        }
        for (const auto &[number, turn] : program.turns) {
            buf << "  turn " << number.value << ' ' << describe(turn) << '\n';
        }
    }
    return buf.str();
}

ProgramId someProgram()
{
    return ProgramId{TestShard, *rc::gen::inRange<std::uint64_t>(1, 6)};
}

CallKey someKey()
{
    return CallKey{someProgram(), Turn{*rc::gen::inRange<std::uint32_t>(1, 4)}};
}

ServerName someServer()
{
    return ServerName{"s" + std::to_string(*rc::gen::inRange(1, 4))};
}

JournalRecord someCreation()
{
    ProgramCreated record;
    record.program = someProgram();
    record.parent = *rc::gen::arbitrary<bool>() ? record.program : someProgram();
    record.customer = CustomerName{"klokwerk"};
    record.budget.tokens = 100;
    record.request.low = *rc::gen::inRange<std::uint64_t>(0, 3);
    return record;
}

JournalRecord someIntent()
{
    CallIntended record;
    record.key = someKey();
    record.attempt.value = *rc::gen::inRange<std::uint32_t>(1, 4);
    record.content.low = 9;
    record.server = someServer();
    record.incarnation.value = 3;
    return record;
}

JournalRecord someFinish()
{
    TurnFinished record;
    record.key = someKey();
    record.content.low = 9;
    record.input = ServiceCall{};
    record.server = someServer();
    record.attempt.value = 2;
    record.spentTokens = 7;
    if (*rc::gen::arbitrary<bool>()) {
        CallResult result;
        result.body = "done";
        record.outcome = result;
    } else {
        Error error;
        error.run = *rc::gen::element(RunState::NotRun, RunState::Ran, RunState::Unknown);
        record.outcome = error;
    }
    return record;
}

JournalRecord someRecord()
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
        return someCreation();
    case 2:
    case 3:
        return someIntent();
    case 4:
    case 5:
        return someFinish();
    case 6:
        return OutcomeSettled{someKey(), *rc::gen::arbitrary<bool>(), "operator"};
    default:
        return ProgramEnded{someProgram(), WallTime()};
    }
}

RC_GTEST_PROP(ProgramRegistryProperty, RecordsRebuildTheState, ())
{
    ProgramRegistry registry;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int n = 0; n < steps; n++) {
        registry.apply(someRecord());
    }
    ProgramRegistry rebuilt;
    for (const JournalRecord &it : registry.records()) {
        rebuilt.apply(it);
    }
    RC_ASSERT(describe(rebuilt) == describe(registry));
    RC_ASSERT(rebuilt.openIntents() == registry.openIntents());
    RC_ASSERT(rebuilt.liveCount() == registry.liveCount());
}

RC_GTEST_PROP(ProgramRegistryProperty, ARecordAppliedTwiceInARowChangesNothing, ())
{
    ProgramRegistry once;
    ProgramRegistry twice;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int n = 0; n < steps; n++) {
        const JournalRecord record = someRecord();
        once.apply(record);
        twice.apply(record);
        twice.apply(record);
    }
    RC_ASSERT(describe(twice) == describe(once));
}

TEST(ProgramRegistryTest, ErasesOnlyWhenTheWholeSubtreeHasEnded)
{
    ProgramRegistry registry;
    ProgramCreated root;
    root.program = ProgramId{TestShard, 1};
    root.parent = root.program;
    ProgramCreated child;
    child.program = ProgramId{TestShard, 2};
    child.parent = root.program;
    registry.apply(root);
    registry.apply(child);
    registry.apply(ProgramEnded{root.program, WallTime()});
    registry.erase(root.program);
    EXPECT_NE(registry.find(root.program), nullptr);
    registry.apply(ProgramEnded{child.program, WallTime()});
    registry.erase(root.program);
    EXPECT_TRUE(registry.programs().empty());
}

} // namespace

} // namespace Vanillahall
