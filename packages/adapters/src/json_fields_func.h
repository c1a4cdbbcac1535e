/**
 * Lists the members of every stored type, for both archives (JsonWriter, JsonReader).
 * The structured bindings name every member, so that adding one to a type is a compile error until it is listed here.
 */
#pragma once

#include "vanillahall/core/store_type.h"

#include <concepts>
#include <string_view>
#include <type_traits>

namespace Vanillahall {

/** True if `T` is `Stored` or `const Stored`: the writing archive accepts const values. */
template<typename T, typename Stored>
concept Is = std::same_as<std::remove_const_t<T>, Stored>;

/** Name that identifies `T` as an alternative of a variant in stored texts. */
template<typename T>
inline constexpr std::string_view KindName{};

template<>
inline constexpr std::string_view KindName<ProgramCreated> = "program_created";
template<>
inline constexpr std::string_view KindName<CallIntended> = "call_intended";
template<>
inline constexpr std::string_view KindName<TurnFinished> = "turn_finished";
template<>
inline constexpr std::string_view KindName<OutcomeSettled> = "outcome_settled";
template<>
inline constexpr std::string_view KindName<ProgramEnded> = "program_ended";
template<>
inline constexpr std::string_view KindName<LeaseRow> = "lease";
template<>
inline constexpr std::string_view KindName<Segment> = "segment";
template<>
inline constexpr std::string_view KindName<ConfigRow> = "config";
template<>
inline constexpr std::string_view KindName<QuarantineRow> = "quarantine";
template<>
inline constexpr std::string_view KindName<ShardSnapshot> = "snapshot";
template<>
inline constexpr std::string_view KindName<ModelInput> = "model";
template<>
inline constexpr std::string_view KindName<ServiceCall> = "service";
template<>
inline constexpr std::string_view KindName<CallResult> = "result";
template<>
inline constexpr std::string_view KindName<Error> = "error";
template<>
inline constexpr std::string_view KindName<ClassTarget> = "class_target";
template<>
inline constexpr std::string_view KindName<ServerDeclaration> = "server_declaration";

template<typename Archive, Is<ProgramId> T>
void fields(Archive &archive, T &it)
{
    auto &[shard, serial] = it;
    archive("shard", shard);
    archive("serial", serial);
}

template<typename Archive, Is<CallKey> T>
void fields(Archive &archive, T &it)
{
    auto &[program, turn] = it;
    archive("program", program);
    archive("turn", turn);
}

template<typename Archive, Is<ContentHash> T>
void fields(Archive &archive, T &it)
{
    auto &[high, low] = it;
    archive("high", high);
    archive("low", low);
}

template<typename Archive, Is<Budget> T>
void fields(Archive &archive, T &it)
{
    auto &[tokens, calls, time] = it;
    archive("tokens", tokens);
    archive("calls", calls);
    archive("time", time);
}

template<typename Archive, Is<Error> T>
void fields(Archive &archive, T &it)
{
    auto &[code, run, step, peer, message, retryAfter] = it;
    archive("code", code);
    archive("run", run);
    archive("step", step);
    archive("peer", peer);
    archive("message", message);
    archive("retry_after", retryAfter);
}

template<typename Archive, Is<ModelInput> T>
void fields(Archive &archive, T &it)
{
    auto &[model, messages, maxTokens] = it;
    archive("model", model);
    archive("messages", messages);
    archive("max_tokens", maxTokens);
}

template<typename Archive, Is<ServiceCall> T>
void fields(Archive &archive, T &it)
{
    auto &[service, operation, body, repeatable] = it;
    archive("service", service);
    archive("operation", operation);
    archive("body", body);
    archive("repeatable", repeatable);
}

template<typename Archive, Is<CallResult> T>
void fields(Archive &archive, T &it)
{
    auto &[status, body, finishReason, promptTokens, cachedTokens, completionTokens, waited, prefill, decode] = it;
    archive("status", status);
    archive("body", body);
    archive("finish_reason", finishReason);
    archive("prompt_tokens", promptTokens);
    archive("cached_tokens", cachedTokens);
    archive("completion_tokens", completionTokens);
    archive("waited", waited);
    archive("prefill", prefill);
    archive("decode", decode);
}

template<typename Archive, Is<ProgramCreated> T>
void fields(Archive &archive, T &it)
{
    auto &[program, parent, customer, className, budget, began, request] = it;
    archive("program", program);
    archive("parent", parent);
    archive("customer", customer);
    archive("class_name", className);
    archive("budget", budget);
    archive("began", began);
    archive("request", request);
}

template<typename Archive, Is<CallIntended> T>
void fields(Archive &archive, T &it)
{
    auto &[key, attempt, content, server, incarnation, input, began] = it;
    archive("key", key);
    archive("attempt", attempt);
    archive("content", content);
    archive("server", server);
    archive("incarnation", incarnation);
    archive("input", input);
    archive("began", began);
}

template<typename Archive, Is<TurnFinished> T>
void fields(Archive &archive, T &it)
{
    auto &[key, content, input, outcome, server, attempt, began, ended, spentTokens] = it;
    archive("key", key);
    archive("content", content);
    archive("input", input);
    archive("outcome", outcome);
    archive("server", server);
    archive("attempt", attempt);
    archive("began", began);
    archive("ended", ended);
    archive("spent_tokens", spentTokens);
}

template<typename Archive, Is<OutcomeSettled> T>
void fields(Archive &archive, T &it)
{
    auto &[key, ran, operatorName] = it;
    archive("key", key);
    archive("ran", ran);
    archive("operator_name", operatorName);
}

template<typename Archive, Is<ProgramEnded> T>
void fields(Archive &archive, T &it)
{
    auto &[program, ended] = it;
    archive("program", program);
    archive("ended", ended);
}

template<typename Archive, Is<Segment> T>
void fields(Archive &archive, T &it)
{
    auto &[number, first, records] = it;
    archive("number", number);
    archive("first", first);
    archive("records", records);
}

template<typename Archive, Is<ShardSnapshot> T>
void fields(Archive &archive, T &it)
{
    auto &[upTo, upToRecord, records] = it;
    archive("up_to", upTo);
    archive("up_to_record", upToRecord);
    archive("records", records);
}

template<typename Archive, Is<LeaseRow> T>
void fields(Archive &archive, T &it)
{
    auto &[shard, owner, incarnation, epoch, commit, successors, lastSegment, lastRecord, snapshotSegment, snapshot, retired] = it;
    archive("shard", shard);
    archive("owner", owner);
    archive("incarnation", incarnation);
    archive("epoch", epoch);
    archive("commit", commit);
    archive("successors", successors);
    archive("last_segment", lastSegment);
    archive("last_record", lastRecord);
    archive("snapshot_segment", snapshotSegment);
    archive("snapshot", snapshot);
    archive("retired", retired);
}

template<typename Archive, Is<QuarantineRow> T>
void fields(Archive &archive, T &it)
{
    auto &[content, servers, until, lifted] = it;
    archive("content", content);
    archive("servers", servers);
    archive("until", until);
    archive("lifted", lifted);
}

template<typename Archive, Is<ClassTarget> T>
void fields(Archive &archive, T &it)
{
    auto &[name, target] = it;
    archive("name", name);
    archive("target", target);
}

template<typename Archive, Is<ServerDeclaration> T>
void fields(Archive &archive, T &it)
{
    auto &[name, state] = it;
    archive("name", name);
    archive("state", state);
}

template<typename Archive, Is<ConfigChange> T>
void fields(Archive &archive, T &it)
{
    auto &[version, operatorName, at, change, requestNumber] = it;
    archive("version", version);
    archive("operator_name", operatorName);
    archive("at", at);
    archive("change", change);
    archive("request_number", requestNumber);
}

template<typename Archive, Is<ConfigRow> T>
void fields(Archive &archive, T &it)
{
    auto &[version, classes, servers, history] = it;
    archive("version", version);
    archive("classes", classes);
    archive("servers", servers);
    archive("history", history);
}

} // namespace Vanillahall
