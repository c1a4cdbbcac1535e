/** Real entries with scripted gates, a fake store and simulated time. */
#pragma once

#include "fake_store.h"
#include "scripted_gate.h"

#include "vanillahall/core/config_updater_base.h"
#include "vanillahall/core/entry_base.h"
#include "vanillahall/core/entry_query.h"
#include "vanillahall/core/id_func.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Vanillahall {

using namespace std::chrono_literals;

/** All processes of a test and the messages between them. */
class EntryTestbed
{
public:
    FakeStore store;
    StoreFault storeFault = StoreFault::None;
    Now now{TimePoint(1000s), WallTime(std::chrono::hours(480000))};
    std::map<ServerName, ScriptedGate> gates;
    std::map<RequestId, CallerAnswer> answers;
    std::map<RequestId, std::string> streams;
    std::set<EntryName> stopped;
    std::vector<WriteLog> logs;
    int duplicateAnswers = 0;

    EntryTestbed()
    {
        ConfigRow config;
        config.version = ConfigVersion{1};
        config.classes = {ClassTarget{ClassName{"urgent"}, 60s}};
        store.apply(StoreTransaction{{}, {RowPut{configKey(), config}}, {}});
    }

    void addGate(const std::string &name, PoolKind kind)
    {
        ScriptedGate gate;
        gate.name = ServerName{name};
        gate.address = "10.0.1." + std::to_string(gates.size() + 1) + ":1";
        gate.kind = kind;
        gates[gate.name] = gate;
    }

    void addEntry(const std::string &name, std::uint64_t number)
    {
        EntrySettings settings;
        settings.name = EntryName{name};
        settings.zone = ZoneName{"zone-" + name};
        settings.incarnation = Incarnation{number};
        settings.shard = ShardId{number};
        m_entries[settings.name] = std::make_unique<Entry>(settings);
        m_clients[number] = settings.name;
    }

    /** One entry, two model gates and two service gates. */
    void addDefaultSetup()
    {
        addEntry("a", 1);
        addGate("m1", PoolKind::Model);
        addGate("m2", PoolKind::Model);
        addGate("s1", PoolKind::Service);
        addGate("s2", PoolKind::Service);
        run(500ms);
    }

    [[nodiscard]] const EntryState &state(const std::string &name) const
    {
        return m_entries.at(EntryName{name})->state();
    }
    /** Ends a process; connections of others to it are lost. */
    void kill(const std::string &name)
    {
        m_entries.erase(EntryName{name});
        for (const auto &[other, entry] : m_entries) {
            m_events.emplace_back(other, EntryLinkLost{EntryName{name}});
        }
    }
    /** Suspends a process; its events are queued. */
    void pause(const std::string &name)
    {
        m_paused.insert(EntryName{name});
    }
    /** Resumes a process and delivers its queued events. */
    void resume(const std::string &name)
    {
        m_paused.erase(EntryName{name});
        drain();
    }
    /** Resumes a process; messages of other entries sent meanwhile are lost. */
    void resumeWithoutPeerMessages(const std::string &name)
    {
        std::erase_if(m_events, [&name](const auto &it) {
            return it.first.text == name && std::holds_alternative<EntryMessageReceived>(it.second);
        });
        resume(name);
    }
    ScriptedGate &gate(const std::string &server)
    {
        return gates.at(ServerName{server});
    }
    /** Breaks the connections between a gate and all entries. */
    void breakLinks(const std::string &server)
    {
        gate(server).breakLinks();
        for (const auto &[name, entry] : m_entries) {
            m_events.emplace_back(name, GateLinkLost{ServerName{server}});
        }
        drain();
    }
    void restartGate(const std::string &server)
    {
        gate(server).restart();
        breakLinks(server);
    }
    /** @return How often a call was started, at all gates together. */
    [[nodiscard]] int runsOf(const CallKey &key) const
    {
        int runs = 0;
        for (const auto &[name, it] : gates) {
            const auto found = it.runs.find(key);
            runs += found == it.runs.end() ? 0 : found->second;
        }
        return runs;
    }
    /** @return A gate that holds a call; empty if none does. */
    [[nodiscard]] std::string gateOf(const CallKey &key) const
    {
        for (const auto &[name, it] : gates) {
            if (it.calls.contains(key)) {
                return name.text;
            }
        }
        return {};
    }

    /** Sends a caller's request. @return Its number. */
    RequestId sendRequest(const std::string &entry, CallerRequest body, bool stream = false, const std::string &customer = "klokwerk")
    {
        const RequestId id{++m_lastRequest};
        m_events.emplace_back(EntryName{entry},
                              CallerRequestReceived{id, CustomerName{customer}, stream, std::move(body), 5000 + id.value});
        drain();
        return id;
    }
    void deliver(const std::string &entry, EntryEvent event)
    {
        m_events.emplace_back(EntryName{entry}, std::move(event));
        drain();
    }

    void run(Duration time)
    {
        for (const TimePoint end = now.steady + time; now.steady < end;) {
            now.steady += 10ms;
            now.wall += 10ms;
            step();
        }
    }
    /** Runs until a request is answered. @return The answer; an error with code Internal after `limit`. */
    CallerAnswer await(RequestId id, Duration limit = 20s)
    {
        for (const TimePoint end = now.steady + limit; now.steady < end && !answers.contains(id);) {
            run(10ms);
        }
        return answers.contains(id) ? answers.at(id) : CallerAnswer(Error());
    }

private:
    void step()
    {
        for (const FakeAnswer &it : store.advance(now.steady)) {
            m_events.emplace_back(m_clients.at(it.client), StoreReplyReceived{it.request, it.answer});
        }
        const bool listed = now.steady.time_since_epoch() % 500ms == 0ms;
        for (const auto &[name, entry] : m_entries) {
            if (listed) {
                m_events.emplace_back(name, VmListReceived{vmList()});
            }
            m_events.emplace_back(name, Tick());
        }
        for (auto &[name, gate] : gates) {
            gate.now = now.steady;
            gate.advance();
            collect(gate);
        }
        drain();
    }

    [[nodiscard]] std::vector<VmListing> vmList() const
    {
        std::vector<VmListing> vms;
        for (const auto &[name, gate] : gates) {
            vms.push_back(VmListing{name.text, VmRole::Server, gate.address, ZoneName{"zone-a"}, VmState::Live});
        }
        for (const auto &[name, entry] : m_entries) {
            vms.push_back(VmListing{name.text, VmRole::Entry, "10.0.2.1:" + name.text, ZoneName{"zone-" + name.text}, VmState::Live});
        }
        return vms;
    }

    void drain()
    {
        std::deque<std::pair<EntryName, EntryEvent>> deferred;
        while (!m_events.empty()) {
            if (m_paused.contains(m_events.front().first)) {
                deferred.push_back(std::move(m_events.front()));
                m_events.pop_front();
                continue;
            }
            const EntryName name = m_events.front().first;
            const EntryEvent event = std::move(m_events.front().second);
            m_events.pop_front();
            const auto it = m_entries.find(name);
            if (it == m_entries.end()) {
                continue;
            }
            for (const EntryAction &action : it->second->handle(event, now)) {
                std::visit(
                    [&](const auto &body) {
                        execute(name, body);
                    },
                    action);
            }
        }
        m_events = std::move(deferred);
    }

    void execute(const EntryName &from, const SendToGate &action)
    {
        ScriptedGate &gate = gates.at(action.server);
        if (!gate.up) {
            m_events.emplace_back(from, GateLinkLost{action.server});
        } else if (!gate.unresponsive) {
            gate.now = now.steady;
            std::visit(
                [&gate, &from](const auto &message) {
                    gate.receive(from, message);
                },
                action.message);
            collect(gate);
        }
    }
    /** Queues the messages that a gate has sent. */
    void collect(ScriptedGate &gate)
    {
        for (auto &[to, message] : gate.outbox) {
            m_events.emplace_back(to, GateMessageReceived{gate.name, std::move(message)});
        }
        gate.outbox.clear();
    }
    void execute(const EntryName & /*from*/, const CloseGateLink & /*action*/)
    {
    }
    void execute(const EntryName & /*from*/, const CloseEntryLink & /*action*/)
    {
    }
    void execute(const EntryName &from, const SendToEntry &action)
    {
        if (m_entries.contains(action.entry)) {
            m_events.emplace_back(action.entry, EntryMessageReceived{from, action.message});
        } else {
            m_events.emplace_back(from, EntryLinkLost{action.entry});
        }
    }
    void execute(const EntryName &from, const SendStoreRequest &action)
    {
        for (const auto &[client, name] : m_clients) {
            if (name == from) {
                store.submit(client, action.request, action.body, storeFault, now.steady);
            }
        }
    }
    void execute(const EntryName & /*from*/, const StreamToCaller &action)
    {
        for (const std::string &piece : action.pieces) {
            streams[action.request] += piece;
        }
    }
    void execute(const EntryName & /*from*/, const ReplyToCaller &action)
    {
        duplicateAnswers += answers.emplace(action.request, action.body).second ? 0 : 1;
    }
    void execute(const EntryName & /*from*/, const WriteLog &action)
    {
        logs.push_back(action);
    }
    void execute(const EntryName &from, const StopFinished & /*action*/)
    {
        stopped.insert(from);
    }

    std::map<EntryName, std::unique_ptr<Entry>> m_entries;
    std::set<EntryName> m_paused;
    std::map<std::uint64_t, EntryName> m_clients;
    std::deque<std::pair<EntryName, EntryEvent>> m_events;
    std::uint64_t m_lastRequest = 0;
};

} // namespace Vanillahall
