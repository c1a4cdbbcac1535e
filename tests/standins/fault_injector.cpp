#include "fault_injector_base.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

constexpr std::array<std::string_view, 10> KindNames{
    "none", "slow", "hang", "drop_answer", "reset", "silent", "refuse", "stale", "crash", "down"};

constexpr std::uint32_t BadRequest = 400;

bool matches(const Fault &fault, const HttpRequest &request)
{
    return request.path.find(fault.match) != std::string::npos || request.body.find(fault.match) != std::string::npos;
}

std::optional<Fault> readFault(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        const auto kind = faultKindFromText(json.value("kind", std::string()));
        if (!kind) {
            return std::nullopt;
        }
        const std::chrono::milliseconds time(json.value("ms", std::int64_t{0}));
        return Fault{*kind, json.value("count", std::uint32_t{1}), time, json.value("match", std::string())};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::optional<FaultKind> faultKindFromText(std::string_view text)
{
    const auto it = std::find(KindNames.begin(), KindNames.end(), text);
    if (it == KindNames.end()) {
        return std::nullopt;
    }
    return static_cast<FaultKind>(it - KindNames.begin());
}

std::optional<HttpResponse> FaultInjector::control(const HttpRequest &request, TimePoint now)
{
    if (request.path != "/fault") {
        return std::nullopt;
    }
    HttpResponse response;
    response.body = "{}";
    if (request.method == "DELETE") {
        m_faults.clear();
        m_downUntil = TimePoint{};
        return response;
    }
    auto fault = readFault(request.body);
    if (!fault) {
        response.status = BadRequest;
    } else if (fault->kind == FaultKind::Down) {
        m_downUntil = now + fault->time;
    } else {
        m_faults.push_back(std::move(*fault));
    }
    return response;
}

Fault FaultInjector::take(const HttpRequest &request, TimePoint now)
{
    if (now < m_downUntil) {
        return Fault{FaultKind::Down, 1, {}, {}};
    }
    const auto it = std::find_if(m_faults.begin(), m_faults.end(), [&request](const Fault &fault) {
        return matches(fault, request);
    });
    if (it == m_faults.end()) {
        return Fault{};
    }
    Fault fault = *it;
    if (--it->count == 0) {
        m_faults.erase(it);
    }
    return fault;
}

} // namespace Vanillahall
