#include "vanillahall/core/admission/request_order_base.h"

#include "vanillahall/core/urgency_func.h"

#include <tuple>

namespace Vanillahall::Forward {

namespace {

constexpr Duration ServedHalfLife = std::chrono::seconds(1); ///< A surge is shorter than 8 s; shares are corrected well within it.
constexpr double ShareAllowance = 1.3;           ///< A customer is over its share if it was served this many times as often as the average.
constexpr double MinServed = 0.1;                ///< Customers with less recent service don't count for the average.
constexpr std::size_t MaxServedCustomers = 2000; ///< Customers whose service is remembered; more than the design size.
constexpr std::uint32_t MaxRank = 2;             ///< Higher ranks of customers have the same priority at engines.
constexpr std::uint32_t UrgentPriority = 3;      ///< Of the first rank.
constexpr std::uint32_t NormalPriority = 4;      ///< Of the first rank.
constexpr std::uint32_t LatePriority = 8;
constexpr std::uint32_t LoopPriority = 9; ///< Last.

} // namespace

RequestOrder::RequestOrder() = default;

void RequestOrder::add(const WaitingRequest &request)
{
    m_waiting.emplace(request.id, request);
}

void RequestOrder::remove(std::uint64_t id)
{
    m_waiting.erase(id);
}

void RequestOrder::recordServed(std::uint64_t customer, TimePoint now)
{
    m_servedCount++;
    if (m_served.size() >= MaxServedCustomers) {
        std::erase_if(m_served, [now](const auto &it) {
            return it.second.read(now) < MinServed;
        });
    }
    if (m_served.size() < MaxServedCustomers || m_served.count(customer) != 0) {
        m_served.try_emplace(customer, ServedHalfLife).first->second.add(1, now);
    }
}

bool RequestOrder::isOverShare(std::uint64_t customer, double usual, TimePoint now) const
{
    const auto it = m_served.find(customer);
    return it != m_served.end() && it->second.read(now) > 1 + ShareAllowance * usual;
}

std::vector<std::uint64_t> RequestOrder::first(std::size_t most, TimePoint now) const
{
    using Key = std::tuple<bool, std::uint32_t, bool, std::uint32_t, bool, TimePoint, std::uint64_t>;
    // Only customers that wait compete for the service.
    std::unordered_map<std::uint64_t, double> served;
    for (const auto &[id, it] : m_waiting) {
        const auto known = m_served.find(it.customer);
        served.try_emplace(it.customer, known == m_served.end() ? 0 : known->second.read(now));
    }
    double sum = 0;
    for (const auto &it : served) {
        sum += it.second;
    }
    const double usual = served.empty() ? 0 : sum / static_cast<double>(served.size());
    std::vector<Key> keys;
    keys.reserve(m_waiting.size());
    for (const auto &[id, it] : m_waiting) {
        const bool isOver = isOverShare(it.customer, usual, now);
        keys.emplace_back(it.isLooping, it.customerRank, isOver, it.routeRank, it.startBy < now, it.startBy, id);
    }
    const auto n = std::min(most, keys.size());
    std::partial_sort(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(n), keys.end());
    std::vector<std::uint64_t> ids;
    if (n != 0 && m_servedCount % OldestInterval == OldestInterval - 1) {
        ids.push_back(m_waiting.begin()->first);
    }
    for (std::size_t i = 0; i < n && ids.size() < most; i++) {
        const auto id = std::get<std::uint64_t>(keys[i]);
        if (ids.empty() || ids.front() != id) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t RequestOrder::size() const
{
    return m_waiting.size();
}

std::uint32_t enginePriority(std::uint32_t customerRank, std::optional<Duration> programTimeLeft, bool isLooping)
{
    if (isLooping) {
        return LoopPriority;
    }
    if (programTimeLeft && *programTimeLeft <= Duration::zero()) {
        return LatePriority;
    }
    const bool isUrgent = programTimeLeft && *programTimeLeft < UrgentTimeLeft;
    return (isUrgent ? UrgentPriority : NormalPriority) + std::min(customerRank, MaxRank);
}

} // namespace Vanillahall::Forward
