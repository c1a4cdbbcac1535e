#include "vanillahall/adapters/vm_list_client_base.h"

#include "buffered_request_base.h"
#include "table/enum_name.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Vanillahall {

/** Open requests. */
struct VmListClientState
{
    VmListClientState(HttpClient &http, PlatformPeer peer)
        : requests(http, std::move(peer))
    {
    }

    BufferedRequests requests; ///< To the VM list.
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
    const bool good = json.is_object() && readText(json, "name", listing.name) && readEnum(json, "role", listing.role)
        && readText(json, "address", listing.address) && readText(json, "zone", listing.zone.text)
        && readEnum(json, "state", listing.state);
    return good ? std::optional(std::move(listing)) : std::nullopt;
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

Error failure(ErrorCode code, const std::string &peer, std::string message)
{
    return Error{code, RunState::NotRun, Step::Place, peer, std::move(message), {}};
}

void answer(const BufferedOutcome &outcome, const std::string &peer, const VmListCallback &callback)
{
    if (const auto *broken = std::get_if<HttpFailure>(&outcome)) {
        callback(std::nullopt, failure(broken->timedOut ? ErrorCode::Timeout : ErrorCode::PeerLost, peer, broken->message));
        return;
    }
    const auto &whole = std::get<BufferedAnswer>(outcome);
    if (whole.status != StatusOk) {
        callback(std::nullopt, failure(ErrorCode::PeerLost, peer, "status " + std::to_string(whole.status)));
        return;
    }
    auto list = readList(whole.body);
    const bool good = list.has_value();
    callback(std::move(list), good ? Error{} : failure(ErrorCode::Internal, peer, "unreadable list"));
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
        answer(outcome, peer, callback);
    };
    m_state->requests.send(BufferedRequest{"GET", "/v1/vms", {}, {}, timeLimit, {}}, std::move(done));
}

} // namespace Vanillahall
