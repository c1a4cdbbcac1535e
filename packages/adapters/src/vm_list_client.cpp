#include "vanillahall/adapters/vm_list_client_base.h"

#include "buffered_request_base.h"
#include "table/enum_name.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Vanillahall {

/** Implementation of VmListClient. */
struct VmListClientState
{
    VmListClientState(HttpClient &http, PlatformPeer peer)
        : requests(http, std::move(peer))
    {
    }

    BufferedRequests requests; ///< Requests to the VM list service.
};

namespace {

constexpr std::uint32_t StatusOk = 200;

bool readText(const nlohmann::json &json, const char *name, std::string &text)
{
    const auto it = json.find(name);
    if (it == json.end() || !it->is_string()) {
        return false;
    }
    text = it->get<std::string>();
    return true;
}

template<typename Enum>
bool readEnum(const nlohmann::json &json, const char *name, Enum &value)
{
    std::string text;
    if (!readText(json, name, text)) {
        return false;
    }
    const auto found = enumFromText<Enum>(text);
    value = found.value_or(Enum{});
    return found.has_value();
}

std::optional<VmListing> readListing(const nlohmann::json &json)
{
    VmListing listing;
    const bool valid = json.is_object() && readText(json, "name", listing.name) && readEnum(json, "role", listing.role)
        && readText(json, "address", listing.address) && readText(json, "zone", listing.zone.text)
        && readEnum(json, "state", listing.state);
    return valid ? std::optional(std::move(listing)) : std::nullopt;
}

std::optional<std::vector<VmListing>> readList(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const auto vms = json.is_object() ? json.find("vms") : json.end();
    if (vms == json.end() || !vms->is_array()) {
        return std::nullopt;
    }
    std::vector<VmListing> list;
    for (const auto &it : *vms) {
        auto listing = readListing(it);
        if (!listing) {
            return std::nullopt;
        }
        list.push_back(std::move(*listing));
    }
    return list;
}

Error listError(ErrorCode code, const std::string &peer, std::string message)
{
    return Error{code, RunState::NotRun, Step::Place, peer, std::move(message), {}};
}

void reportOutcome(const BufferedOutcome &outcome, const std::string &peer, const VmListCallback &callback)
{
    if (const auto *httpFailure = std::get_if<HttpFailure>(&outcome)) {
        callback(std::nullopt, listError(httpFailure->timedOut ? ErrorCode::Timeout : ErrorCode::PeerLost, peer, httpFailure->message));
        return;
    }
    const auto &response = std::get<BufferedAnswer>(outcome);
    if (response.status != StatusOk) {
        callback(std::nullopt, listError(ErrorCode::PeerLost, peer, "status " + std::to_string(response.status)));
        return;
    }
    auto list = readList(response.body);
    const bool valid = list.has_value();
    callback(std::move(list), valid ? Error{} : listError(ErrorCode::Internal, peer, "unreadable list"));
}

} // namespace

VmListClient::VmListClient(HttpClient &http, PlatformPeer peer)
    : m_state(std::make_unique<VmListClientState>(http, std::move(peer)))
{
}

VmListClient::~VmListClient() = default;

void VmListClient::read(Duration timeLimit, VmListCallback callback)
{
    auto done = [peer = m_state->requests.peer().name, callback = std::move(callback)](BufferedOutcome &&outcome) {
        reportOutcome(outcome, peer, callback);
    };
    m_state->requests.send(BufferedRequest{"GET", "/v1/vms", {}, {}, timeLimit, {}}, std::move(done));
}

} // namespace Vanillahall
