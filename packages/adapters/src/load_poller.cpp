#include "load_poller_base.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

constexpr std::uint32_t StatusOk = 200;

template<typename T>
bool readNumber(const nlohmann::json &json, const char *name, T &value)
{
    const auto it = json.find(name);
    if (it == json.end() || !it->is_number_unsigned() || !std::in_range<T>(it->get<std::uint64_t>())) {
        return false;
    }
    value = it->get<T>();
    return true;
}

bool readModels(const nlohmann::json &json, std::vector<ModelName> &models)
{
    const auto list = json.find("models");
    if (list == json.end() || !list->is_array()) {
        return false;
    }
    for (const auto &it : *list) {
        if (!it.is_string()) {
            return false;
        }
        models.push_back(ModelName{it.get<std::string>()});
    }
    return true;
}

/** @return The report; one with `up` unset if the response is missing or invalid. */
ServerLoad readLoad(const BufferedOutcome &outcome)
{
    const auto *answer = std::get_if<BufferedAnswer>(&outcome);
    if (answer == nullptr || answer->status != StatusOk) {
        return ServerLoad{};
    }
    const auto json = nlohmann::json::parse(answer->body, nullptr, false);
    ServerLoad load;
    load.up = json.is_object() && readNumber(json, "run", load.serverRun) && readNumber(json, "running", load.running)
        && readNumber(json, "slots", load.slots) && readNumber(json, "cache_tokens", load.cacheTokens)
        && readNumber(json, "cache_capacity", load.cacheCapacity) && readModels(json, load.models);
    return load.up ? load : ServerLoad{};
}

} // namespace

LoadPoller::LoadPoller(BufferedRequests &requests, Duration timeLimit, GateEventCallback &callback)
    : m_requests(requests)
    , m_timeLimit(timeLimit)
    , m_callback(callback)
{
}

void LoadPoller::poll(std::function<void()> onServerUp)
{
    if (std::exchange(m_isPending, true)) {
        return;
    }
    auto done = [this, onServerUp = std::move(onServerUp)](BufferedOutcome &&outcome) {
        m_isPending = false;
        ServerLoad load = readLoad(outcome);
        if (load.up && onServerUp) {
            onServerUp();
        }
        m_callback(std::move(load));
    };
    m_requests.send(BufferedRequest{"GET", "/v1/load", {}, {}, m_timeLimit, {}}, std::move(done));
}

} // namespace Vanillahall
