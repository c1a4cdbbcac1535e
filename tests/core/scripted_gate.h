/** Scripted gate for tests of entries. */
#pragma once

#include "vanillahall/core/message_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Vanillahall {

using namespace std::chrono_literals;

/** A call that a scripted gate holds. */
struct ScriptedCall
{
    EntryName from;                 ///< The entry that messages about it are sent to.
    Attempt attempt;                ///< Newest attempt.
    ContentHash content;            ///< Fingerprint of its content.
    CallBody body;                  ///< What runs.
    CallInput input;                ///< The turn's own input.
    WallTime began;                 ///< When it was submitted.
    std::uint32_t sentTokens{};     ///< Tokens sent to `from`.
    TimePoint tokenAt;              ///< When the next token is generated.
    std::uint32_t tokens{};         ///< Tokens generated.
    std::optional<CallOutcome> end; ///< The outcome.
};

/** A gate that runs every order unless configured otherwise. */
struct ScriptedGate
{
    ServerName name;                                      ///< Name of its server.
    std::string address;                                  ///< "ip:port".
    Incarnation incarnation{100};                         ///< Its incarnation.
    PoolKind kind = PoolKind::Model;                      ///< Kind of its server.
    bool up = true;                                       ///< False: connections are refused.
    bool unresponsive = false;                            ///< True: connections stay open, messages are lost in both directions.
    bool dropsReplies = false;                            ///< True: it receives messages, its own are lost.
    std::optional<Error> refusal;                         ///< If set, new orders are refused with this error.
    std::optional<Error> failure;                         ///< If set, calls end with this error.
    Duration tokenInterval = 20ms;                        ///< Time per token.
    std::uint32_t answerTokens = 3;                       ///< Number of tokens of an answer.
    Duration clockOffset = std::chrono::hours(5);         ///< Its clock minus the testbed's.
    std::map<CallKey, ScriptedCall> calls;                ///< Calls that it holds.
    std::map<CallKey, int> runs;                          ///< How often each call was started.
    std::map<ShardId, Epoch> epochs;                      ///< Newest fencing number of each shard.
    std::vector<RunCall> orders;                          ///< Orders received.
    std::set<CallKey> settled;                            ///< Calls that were settled.
    std::set<CallKey> cancelled;                          ///< Calls that were cancelled.
    std::set<ProgramId> ended;                            ///< Programs that were ended.
    std::optional<ConfigVersion> config;                  ///< Version of the last configuration received.
    TimePoint now;                                        ///< The testbed's clock.
    std::deque<std::pair<EntryName, GateToEntry>> outbox; ///< Messages not delivered yet.

    /** Replaces the process by a new incarnation without any state. */
    void restart()
    {
        incarnation.value++;
        calls.clear();
        epochs.clear();
    }
    /** Breaks all connections; undelivered messages are lost. */
    void breakLinks()
    {
        outbox.clear();
        for (auto &[key, call] : calls) {
            call.from = EntryName();
        }
    }

    void send(const EntryName &to, GateToEntry message)
    {
        if (up && !unresponsive && !dropsReplies && !to.empty()) {
            outbox.emplace_back(to, std::move(message));
        }
    }
    [[nodiscard]] GateTime gateClock() const
    {
        return GateTime(now.time_since_epoch() + clockOffset);
    }
    /** Checks a fence and records its epoch. @return Why the order is refused; nothing if it is accepted. */
    std::optional<Error> checkFence(const Fence &fence)
    {
        Error error;
        error.step = Step::Dispatch;
        error.peer = name.text;
        Epoch &newest = epochs[fence.shard];
        if (fence.epoch < newest) {
            error.code = ErrorCode::StaleEpoch;
        } else if (fence.incarnation != incarnation) {
            error.code = ErrorCode::WrongIncarnation;
        } else if (gateClock() > fence.validUntil) {
            error.code = ErrorCode::OrderExpired;
        } else {
            newest = fence.epoch;
            return std::nullopt;
        }
        return error;
    }

    static CallInput inputOf(const RunCall &order)
    {
        const auto *model = std::get_if<ModelCall>(&order.body);
        if (model == nullptr) {
            return std::get<ServiceCall>(order.body);
        }
        const auto own = model->messages.end() - static_cast<std::ptrdiff_t>(order.newMessages);
        return ModelInput{model->model, {own, model->messages.end()}, model->maxTokens};
    }
    void receive(const EntryName &from, const RunCall &order)
    {
        orders.push_back(order);
        std::optional<Error> error = checkFence(order.fence);
        ScriptedCall *existing = calls.contains(order.key) ? &calls.at(order.key) : nullptr;
        if (!error && existing == nullptr) {
            error = refusal;
        }
        if (error) {
            send(from, CallRefused{order.key, order.attempt, *error});
            return;
        }
        if (existing == nullptr || existing->attempt < order.attempt) {
            ScriptedCall call;
            call.content = order.content;
            call.body = order.body;
            call.input = inputOf(order);
            call.began = order.began;
            call.tokenAt = now + tokenInterval;
            existing = &(calls[order.key] = call);
            runs[order.key]++;
        }
        existing->from = from;
        existing->attempt = order.attempt;
        send(from, CallStarted{order.key, order.attempt});
    }
    void receive(const EntryName &from, const FetchCall &order)
    {
        std::optional<Error> error = checkFence(order.fence);
        const auto it = calls.find(order.key);
        if (!error && (it == calls.end() || it->second.attempt != order.attempt)) {
            error = Error();
            error->code = ErrorCode::NotFound;
        }
        if (error) {
            send(from, CallRefused{order.key, order.attempt, *error});
            return;
        }
        it->second.from = from;
        it->second.sentTokens = order.fromToken;
        sendProgress(order.key, it->second);
    }
    void receive(const EntryName & /*from*/, const CancelCall &order)
    {
        cancelled.insert(order.key);
    }
    void receive(const EntryName & /*from*/, const SettleCalls &order)
    {
        for (const CallKey &key : order.keys) {
            settled.insert(key);
            calls.erase(key);
        }
    }
    void receive(const EntryName & /*from*/, const EndProgram &order)
    {
        ended.insert(order.program);
        std::erase_if(calls, [&order](const auto &it) {
            return it.first.program == order.program;
        });
    }
    void receive(const EntryName &from, const AdoptShard &order)
    {
        if (checkFence(order.fence)) {
            return;
        }
        ShardAdopted answer;
        answer.shard = order.fence.shard;
        answer.epoch = order.fence.epoch;
        for (const auto &[key, call] : calls) {
            if (key.program.shard == order.fence.shard) {
                HeldState state = call.end ? HeldState::Finished : HeldState::Running;
                answer.calls.push_back(HeldCall{key, call.attempt, call.content, state, call.input, call.began});
                answer.programs.push_back(key.program);
            }
        }
        send(from, answer);
    }
    void receive(const EntryName & /*from*/, const ConfigUpdate &message)
    {
        config = message.config.version;
    }
    void receive(const EntryName &from, const Probe &message)
    {
        GateStatus status;
        status.sequence = message.sequence;
        status.server = name;
        status.zone = ZoneName{"zone-a"};
        status.incarnation = incarnation;
        status.clock = gateClock();
        status.kind = kind;
        status.models = {ModelName{"bell"}};
        status.service = ServiceName{"courier"};
        status.serverUp = true;
        status.slots = 8;
        send(from, status);
    }

    /** Generates the tokens that are due by `now`. */
    void advance()
    {
        for (auto &[key, call] : calls) {
            if (call.end || now < call.tokenAt) {
                continue;
            }
            call.tokenAt = now + tokenInterval;
            call.tokens++;
            if (call.tokens >= answerTokens) {
                call.end = failure ? CallOutcome(*failure) : CallOutcome(resultOf(key));
            }
            sendProgress(key, call);
        }
    }
    static std::string token(const CallKey &key, std::uint32_t n)
    {
        return "t" + std::to_string(key.turn.value) + "." + std::to_string(n) + " ";
    }
    [[nodiscard]] CallResult resultOf(const CallKey &key) const
    {
        CallResult result;
        result.status = 200;
        result.promptTokens = 10;
        result.completionTokens = answerTokens;
        for (std::uint32_t n = 0; n < answerTokens; n++) {
            result.body += token(key, n);
        }
        return result;
    }
    void sendProgress(const CallKey &key, ScriptedCall &call)
    {
        CallTokens message{key, call.attempt, call.sentTokens, {}};
        for (std::uint32_t n = call.sentTokens; n < call.tokens && kind == PoolKind::Model; n++) {
            message.pieces.push_back(token(key, n));
        }
        if (!message.pieces.empty()) {
            call.sentTokens = call.tokens;
            send(call.from, message);
        }
        if (call.end) {
            send(call.from, CallFinished{key, call.attempt, *call.end});
        }
    }
};

} // namespace Vanillahall
