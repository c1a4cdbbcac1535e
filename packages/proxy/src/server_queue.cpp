#include "server_queue.h"

#include "exchange.h"
#include "proxy_clock.h"
#include "timer_func.h"

#include <boost/asio/post.hpp>

namespace Vanillahall::Forward {

namespace {

constexpr Duration DispatchInterval
    = std::chrono::milliseconds(15); ///< Servers also become available by time alone, at the end of a back-off.
constexpr std::size_t MaxTried = 32; ///< Requests that try in one round; the first ones may be deferred or exclude the free server.

} // namespace

ServerQueue::ServerQueue(boost::asio::io_context &loop)
    : m_loop(loop)
    , m_timer(loop)
{
}

std::uint64_t ServerQueue::nextNumber()
{
    return m_next++;
}

void ServerQueue::add(const std::string &service, const WaitingRequest &request, const std::shared_ptr<Exchange> &exchange)
{
    m_orders[service].add(request);
    m_exchanges[request.id] = exchange;
    setTimer();
}

void ServerQueue::remove(const std::string &service, std::uint64_t id)
{
    if (m_exchanges.erase(id) != 0) {
        m_orders[service].remove(id);
    }
}

void ServerQueue::recordServed(const std::string &service, std::uint64_t customer, TimePoint now)
{
    m_orders[service].recordServed(customer, now);
}

void ServerQueue::dispatchSoon(const std::string &service)
{
    if (size(service) == 0 || !m_posted.insert(service).second) {
        return;
    }
    // Not at once: the caller may be about to select another server for its own request.
    boost::asio::post(m_loop, [weak = weak_from_this(), service] {
        if (const auto self = weak.lock()) {
            self->m_posted.erase(service);
            self->dispatch(service);
        }
    });
}

void ServerQueue::dispatch(const std::string &service)
{
    bool hasTaken = true;
    while (hasTaken) {
        hasTaken = false;
        for (const auto id : m_orders[service].first(MaxTried, now())) {
            const auto it = m_exchanges.find(id);
            const auto exchange = it == m_exchanges.end() ? nullptr : it->second.lock();
            if (!exchange) {
                remove(service, id);
                continue;
            }
            exchange->tryServer();
            if (m_exchanges.count(id) == 0) {
                // The order may have changed with the request that was served.
                hasTaken = true;
                break;
            }
        }
    }
}

void ServerQueue::setTimer()
{
    if (std::exchange(m_isTimerSet, true)) {
        return;
    }
    runAfter(m_timer, DispatchInterval, *this, [](ServerQueue &self) {
        self.m_isTimerSet = false;
        self.dispatchAll();
    });
}

void ServerQueue::dispatchAll()
{
    std::vector<std::string> services;
    for (const auto &[service, order] : m_orders) {
        if (order.size() != 0) {
            services.push_back(service);
        }
    }
    for (const auto &it : services) {
        dispatch(it);
    }
    if (!m_exchanges.empty()) {
        setTimer();
    }
}

std::size_t ServerQueue::size(const std::string &service) const
{
    const auto it = m_orders.find(service);
    return it == m_orders.end() ? 0 : it->second.size();
}

std::size_t ServerQueue::size() const
{
    return m_exchanges.size();
}

} // namespace Vanillahall::Forward
