#include "request_func.h"

#include "vanillahall/core/error_func.h"
#include "vanillahall/net/http_client_base.h"

namespace Vanillahall {

namespace {

constexpr Duration TotalTimeLimit = std::chrono::seconds(15);

Error failureError(const CommandContext &context, const HttpFailure &failure)
{
    Error error = notRun(ErrorCode::PeerLost, Step::Forward, context.address + ":" + std::to_string(context.port), failure.message);
    if (failure.progress != HttpProgress::NotSent) {
        error.run = RunState::Unknown;
    }
    return error;
}

} // namespace

std::optional<CommandAnswer> sendRequest(const CommandContext &context, const CommandRequest &request, Error &reason)
{
    Loop loop;
    HttpClient client(loop);
    HttpClientRequest out;
    out.address = context.address;
    out.port = context.port;
    out.method = request.method;
    out.path = request.path;
    out.body = request.body;
    out.totalTimeout = TotalTimeLimit;
    if (!context.token.empty()) {
        out.headers.push_back({"authorization", "Bearer " + context.token});
    }
    if (!request.ifMatch.empty()) {
        out.headers.push_back({"if-match", "\"" + request.ifMatch + "\""});
    }
    CommandAnswer answer;
    bool isComplete = false;
    HttpClientHandlers handlers;
    handlers.onHead = [&answer](std::uint32_t status) {
        answer.status = status;
    };
    handlers.onBody = [&answer](std::string_view piece) {
        answer.body += piece;
    };
    handlers.onEnd = [&isComplete, &loop] {
        isComplete = true;
        loop.stop();
    };
    handlers.onFailure = [&reason, &context, &loop](const HttpFailure &failure) {
        reason = failureError(context, failure);
        loop.stop();
    };
    client.send(std::move(out), std::move(handlers));
    loop.run();
    return isComplete ? std::make_optional(answer) : std::nullopt;
}

} // namespace Vanillahall
