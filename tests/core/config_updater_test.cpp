#include "vanillahall/core/config_updater_base.h"

#include "fake_store.h"

#include <map>
#include <optional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

/** Operators at several entries, one store and simulated time. */
class OperatorSimulation
{
public:
    FakeStore store;
    std::map<std::uint64_t, ConfigAnswer> answers;

    explicit OperatorSimulation(std::size_t entries)
    {
        for (std::size_t n = 0; n < entries; n++) {
            m_updaters.emplace_back(ConfigUpdaterSettings{"entry-" + std::to_string(n), 800ms, 4s, 200});
            m_outputs.push_back(ConfigUpdaterOutput{StoreRequestId{1}, {}, {}});
        }
    }

    /** Requests a change of a target as an operator. @return Request number; key of the result in `answers`. */
    std::uint64_t change(std::size_t entry, std::uint64_t expected, std::int64_t target)
    {
        const std::uint64_t number = ++m_last;
        const ClassTarget wanted{ClassName{"urgent"}, std::chrono::milliseconds(target)};
        m_updaters[entry].change(RequestId{number}, {ConfigVersion{expected}, "ops", wanted, number}, m_now, m_outputs[entry]);
        drain(entry, StoreFault::None);
        return number;
    }

    /** Advances the time; requests sent meanwhile are subject to `fault`. */
    void run(Duration time, StoreFault fault)
    {
        for (const TimePoint end = m_now.steady + time; m_now.steady < end;) {
            m_now.steady += 10ms;
            m_now.wall += 10ms;
            for (const FakeAnswer &it : store.advance(m_now.steady)) {
                m_updaters[it.client].onStoreReply(it.request, it.answer, m_now, m_outputs[it.client]);
                drain(it.client, fault);
            }
            for (std::size_t n = 0; n < m_updaters.size(); n++) {
                m_updaters[n].tick(m_now, m_outputs[n]);
                drain(n, fault);
            }
        }
    }

    [[nodiscard]] ConfigRow row() const
    {
        const StoredRow *found = store.row(configKey());
        return found == nullptr ? ConfigRow() : std::get<ConfigRow>(found->value);
    }

private:
    void drain(std::size_t entry, StoreFault fault)
    {
        ConfigUpdaterOutput &out = m_outputs[entry];
        for (const auto &it : out.store) {
            store.submit(entry, it.request, it.body, fault, m_now.steady, 300ms);
        }
        out.store.clear();
        for (const auto &it : out.replies) {
            answers.emplace(it.request.value, it.body);
        }
        out.replies.clear();
    }

    Now m_now{TimePoint(100s), WallTime(1000000s)};
    std::uint64_t m_last = 0;
    std::vector<ConfigUpdater> m_updaters;
    std::vector<ConfigUpdaterOutput> m_outputs;
};

std::optional<ConfigVersion> acceptedVersion(const OperatorSimulation &simulation, std::uint64_t number)
{
    const auto *accepted = std::get_if<ConfigAccepted>(&simulation.answers.at(number));
    return accepted == nullptr ? std::nullopt : std::make_optional(accepted->version);
}

} // namespace

TEST(ConfigUpdaterTest, ConflictingChangeIsAnsweredWithTheCurrentValue)
{
    OperatorSimulation simulation(2);
    const auto first = simulation.change(0, 0, 1000);
    const auto second = simulation.change(1, 0, 2000);
    simulation.run(1s, StoreFault::None);
    EXPECT_EQ(acceptedVersion(simulation, first), ConfigVersion{1});
    const auto &conflict = std::get<ConfigConflict>(simulation.answers.at(second));
    EXPECT_EQ(conflict.current.version, ConfigVersion{1});
    EXPECT_EQ(conflict.current.classes.at(0).target, 1000ms);
}

TEST(ConfigUpdaterTest, RowIsReadBackAfterALostReply)
{
    OperatorSimulation simulation(1);
    const auto number = simulation.change(0, 0, 1000);
    simulation.run(20ms, StoreFault::AnswerLost); // The write takes effect, but its reply is lost.
    simulation.run(2s, StoreFault::None);
    EXPECT_EQ(acceptedVersion(simulation, number), ConfigVersion{1});
    EXPECT_EQ(simulation.row().history.size(), 1U);
}

TEST(ConfigUpdaterTest, ChangeIsRefusedAsNotRunWhileTheStoreIsUnavailable)
{
    OperatorSimulation simulation(1);
    simulation.store.latency = 10s;
    const auto number = simulation.change(0, 0, 1000);
    simulation.run(5s, StoreFault::Silent);
    const auto &error = std::get<Error>(simulation.answers.at(number));
    EXPECT_EQ(error.run, RunState::NotRun);
    EXPECT_EQ(error.code, ErrorCode::StoreUnavailable);
    EXPECT_TRUE(error.retryAfter.has_value());
    EXPECT_EQ(simulation.row().version, ConfigVersion{0});
}

RC_GTEST_PROP(ConfigUpdaterProperty, AcceptedChangesPersistAndVersionsOnlyIncrease, ())
{
    constexpr std::size_t Entries = 3;
    OperatorSimulation simulation(Entries);
    const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    std::int64_t target = 1;
    ConfigVersion highest;
    for (const int fault : faults) {
        for (std::size_t entry = 0; entry < Entries; entry++) {
            simulation.change(entry, simulation.row().version.value, target++);
        }
        simulation.run(500ms, static_cast<StoreFault>(fault));
        RC_ASSERT(simulation.row().version >= highest);
        highest = simulation.row().version;
    }
    simulation.run(6s, StoreFault::None);
    const ConfigRow row = simulation.row();
    std::set<ConfigVersion> accepted;
    for (const auto &[number, answer] : simulation.answers) {
        const auto version = acceptedVersion(simulation, number);
        if (version) {
            RC_ASSERT(accepted.insert(*version).second);
            const auto it = std::find_if(row.history.begin(), row.history.end(), [&](const auto &change) {
                return change.version == *version;
            });
            RC_ASSERT(it != row.history.end() && it->requestNumber == number);
        }
    }
    RC_ASSERT(simulation.answers.size() == faults.size() * Entries);
}

} // namespace Vanillahall
