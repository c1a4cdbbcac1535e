#include "vanillahall/adapters/service_client_base.h"

#include "vanillahall/core/id_func.h"

#include "buffered_request_base.h"
#include "load_poller_base.h"
#include "server_failure_func.h"

#include <unordered_map>
#include <utility>

namespace Vanillahall {

/** Implementation of ServiceClient. */
struct ServiceClientState
{
    ServiceClientState(HttpClient &http, ServiceClientSettings settings, GateEventCallback eventCallback)
        : callback(std::move(eventCallback))
        , requests(http, std::move(settings.peer))
        , load(requests, settings.controlTimeout, callback)
    {
    }

    GateEventCallback callback;                                ///< Receives every event.
    BufferedRequests requests;                                 ///< Requests to the service.
    LoadPoller load;                                           ///< Load reports.
    std::unordered_map<ServerCallId, BufferedRequestId> calls; ///< Pending calls.
};

namespace {

std::string idempotencyKey(const CallKey &key)
{
    return toText(key.program) + "-" + std::to_string(key.turn.value);
}

GateEvent toEvent(ServerCallId call, TimePoint startTime, BufferedOutcome &&outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        return ServerCallFailed{call, toServerFailure(*failure), failure->message};
    }
    auto &answer = std::get<BufferedAnswer>(outcome);
    if (isRefusal(answer.status)) {
        return ServerCallFailed{call, ServerFailure::Refused, statusText(answer.status)};
    }
    CallResult result;
    result.status = answer.status;
    result.body = std::move(answer.body);
    result.decode = Loop::now() - startTime;
    return ServerCallFinished{call, std::move(result)};
}

} // namespace

ServiceClient::ServiceClient(HttpClient &http, ServiceClientSettings settings, GateEventCallback callback)
    : m_state(std::make_unique<ServiceClientState>(http, std::move(settings), std::move(callback)))
{
}

ServiceClient::~ServiceClient() = default;

void ServiceClient::start(const StartServerCall &action)
{
    const auto &input = std::get<ServiceCall>(action.body);
    BufferedRequest request{"POST", "/v1/" + input.operation, input.body, {}, action.timeLimit, {}};
    request.headers.push_back(HttpHeader{"idempotency-key", idempotencyKey(action.key)});
    request.onHead = [this, call = action.call] {
        m_state->callback(ServerCallStarted{call});
    };
    auto done = [this, call = action.call, startTime = Loop::now()](BufferedOutcome &&outcome) {
        m_state->calls.erase(call);
        m_state->callback(toEvent(call, startTime, std::move(outcome)));
    };
    m_state->calls[action.call] = m_state->requests.send(std::move(request), std::move(done));
}

void ServiceClient::cancel(const CancelServerCall &action)
{
    const auto node = m_state->calls.extract(action.call);
    if (!node.empty()) {
        m_state->requests.cancel(node.mapped());
    }
}

void ServiceClient::pollLoad()
{
    m_state->load.poll({});
}

} // namespace Vanillahall
