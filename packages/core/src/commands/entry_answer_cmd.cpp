#include "entry_answer_func.h"

#include "entry_route_func.h"

namespace Vanillahall {

namespace {

/** Streams the tokens that the caller has not received. @return The final answer. */
CallerAnswer completeStream(EntryState &entry, RequestId id, OpenRequest &request, CallAnswered answer)
{
    const auto *result = std::get_if<CallResult>(&answer.outcome);
    if (result == nullptr || !std::holds_alternative<ModelInput>(answer.input)) {
        return answer;
    }
    std::optional<MergedTokens> rest = request.merger.finish(result->body);
    if (!rest) {
        Error error = refusal(entry, ErrorCode::ServerFailed, Step::Resume, "the answer was generated anew; ask for the turn");
        error.run = RunState::Ran;
        error.peer = answer.server.text;
        return error;
    }
    if (!rest->pieces.empty()) {
        addAction(entry, StreamToCaller{id, answer.key, rest->firstToken, std::move(rest->pieces)});
    }
    return answer;
}

/** Replaces RunState::NotRun by Unknown if an earlier holder may have run the request. */
void downgradeRunState(const OpenRequest &request, CallerAnswer &answer)
{
    const bool runs = std::holds_alternative<SubmitCall>(request.body) || std::holds_alternative<CreateProgram>(request.body);
    auto *error = std::get_if<Error>(&answer);
    if (error != nullptr && runs && request.mayHaveRun && error->run == RunState::NotRun) {
        error->run = RunState::Unknown;
    }
}

void logRefusal(EntryState &entry, const CallerAnswer &answer)
{
    if (const auto *error = std::get_if<Error>(&answer)) {
        logLine(entry, LogLevel::Info, EventNumber::RequestRefused, std::nullopt, error->peer, error->message);
    }
}

} // namespace

void answerRequester(EntryState &entry, const Requester &requester, CallerAnswer answer)
{
    if (!requester.entry.empty()) {
        addAction(entry, SendToEntry{requester.entry, {}, ForwardAnswer{requester.request, std::move(answer)}});
        return;
    }
    const auto it = entry.requests.find(requester.request);
    if (it == entry.requests.end()) {
        return; // The caller has disconnected.
    }
    if (it->second.stream && std::holds_alternative<CallAnswered>(answer)) {
        answer = completeStream(entry, requester.request, it->second, std::get<CallAnswered>(std::move(answer)));
    }
    downgradeRunState(it->second, answer);
    logRefusal(entry, answer);
    entry.requests.erase(it);
    addAction(entry, ReplyToCaller{requester.request, std::move(answer)});
}

void streamToRequester(
    EntryState &entry, const Requester &requester, const CallKey &key, std::uint32_t firstToken, const std::vector<std::string> &pieces)
{
    if (!requester.stream || pieces.empty()) {
        return;
    }
    if (!requester.entry.empty()) {
        addAction(entry, SendToEntry{requester.entry, {}, ForwardTokens{requester.request, firstToken, pieces}});
        return;
    }
    const auto it = entry.requests.find(requester.request);
    if (it == entry.requests.end()) {
        return;
    }
    MergedTokens next = it->second.merger.take(firstToken, pieces);
    if (!next.pieces.empty()) {
        addAction(entry, StreamToCaller{requester.request, key, next.firstToken, std::move(next.pieces)});
    }
}

void rerouteRequester(EntryState &entry, const Requester &requester, RunState run)
{
    if (!requester.entry.empty()) {
        Error error = refusal(entry, ErrorCode::NotHolder, Step::Route, "the program is held elsewhere", RouteRetryInterval);
        error.run = run;
        addAction(entry, SendToEntry{requester.entry, {}, ForwardAnswer{requester.request, error}});
        return;
    }
    const auto it = entry.requests.find(requester.request);
    if (it != entry.requests.end()) {
        it->second.mayHaveRun = it->second.mayHaveRun || run != RunState::NotRun;
        parkRequest(entry, requester.request);
    }
}

} // namespace Vanillahall
