/** Requests that wait in the proxy for a server. */
#pragma once

#include "vanillahall/core/admission/request_order_base.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

class Exchange;

/** Lets the first request in order try to get a server when one may be free. */
class ServerQueue : public std::enable_shared_from_this<ServerQueue>
{
public:
    explicit ServerQueue(boost::asio::io_context &loop);

    // Commands.

    /** @return Number for a request that is going to wait; later requests get higher ones. */
    std::uint64_t nextNumber();
    /** Adds a request; its id must come from nextNumber(). */
    void add(const std::string &service, const WaitingRequest &request, const std::shared_ptr<Exchange> &exchange);
    /** Removes a request, if it is there. */
    void remove(const std::string &service, std::uint64_t id);
    /** Records that a request was sent to a server. */
    void recordServed(const std::string &service, std::uint64_t customer, TimePoint now);
    /** Lets waiting requests try soon, since a server may be free. */
    void dispatchSoon(const std::string &service);

    // Queries.

    /** @return Number of requests that wait for a service. */
    [[nodiscard]] std::size_t size(const std::string &service) const;
    /** @return Number of waiting requests. */
    [[nodiscard]] std::size_t size() const;

private:
    void dispatch(const std::string &service);
    /** Lets the first requests of each service try, and again after DispatchInterval while any wait. */
    void dispatchAll();
    void setTimer();

    boost::asio::io_context &m_loop;
    boost::asio::steady_timer m_timer;                                      ///< Delay before the next dispatchAll().
    std::unordered_map<std::string, RequestOrder> m_orders;                 ///< By service; bounded by those of the configuration.
    std::unordered_map<std::uint64_t, std::weak_ptr<Exchange>> m_exchanges; ///< Waiting requests by id.
    std::set<std::string> m_posted;                                         ///< Services whose dispatch() is scheduled by dispatchSoon().
    std::uint64_t m_next = 1;
    bool m_isTimerSet = false;
};

} // namespace Vanillahall::Forward
