#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"
#include "timer_func.h"

#include "vanillahall/platform/wire_header_func.h"

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

/** Selects the refusal of a request whose key identifies no customer; nothing for a request that isn't refused. */
struct KeyRefusalOf
{
    std::optional<Refusal> operator()(const UnknownKey &) const
    {
        return Refusal{StatusUnauthorized, std::nullopt, Outcome::KeyUnknown};
    }
    std::optional<Refusal> operator()(const UncertainKey &) const
    {
        return Refusal{StatusUnavailable, StoreRetryAfter, Outcome::KeyUncertain};
    }
    std::optional<Refusal> operator()(const UnconfirmedKey &) const
    {
        return Refusal{StatusUnavailable, StoreRetryAfter, Outcome::KeyUnconfirmed};
    }
    template<typename Other>
    std::optional<Refusal> operator()(const Other &) const
    {
        return std::nullopt;
    }
};

std::optional<CustomerIdentity> customerIn(const Identification &found)
{
    const auto *customer = std::get_if<CustomerIdentity>(&found);
    return customer != nullptr ? std::optional(*customer) : std::nullopt;
}

std::string nameOf(const std::optional<CustomerIdentity> &customer)
{
    return customer ? customer->name : std::string();
}

} // namespace

Identification Exchange::currentCustomer() const
{
    // The configuration may have changed the route, too. A route that is gone still serves the requests that it has accepted.
    const std::string_view target = m_request.target;
    const auto *route = m_proxy.routes.find(m_request.host, target.substr(0, target.find('?')));
    const auto &attributes = m_request.attributes;
    const std::string_view key = attributes.keyHeaders == 1 ? std::string_view(attributes.customerKey) : std::string_view();
    return m_proxy.customers.identify(route != nullptr ? route->needsKey : m_route.needsKey, key, m_proxy.configStanding());
}

std::optional<Refusal> Exchange::identifyCustomer()
{
    const auto found = currentCustomer();
    if (auto refusal = std::visit(KeyRefusalOf(), found)) {
        return refusal;
    }
    setCustomer(customerIn(found));
    return std::nullopt;
}

bool Exchange::onConnected()
{
    if (nameOf(customerIn(currentCustomer())) == nameOf(m_customer) && !std::visit(KeyRefusalOf(), currentCustomer())) {
        return true;
    }
    // The configuration has changed while the connection was being opened.
    m_connection.reset();
    m_mayHaveRun--;
    endAttempt(false);
    selectServer();
    return false;
}

bool Exchange::confirmCustomer()
{
    auto found = currentCustomer();
    if (std::visit(KeyRefusalOf(), found)) {
        refuseKey(found);
        return false;
    }
    auto customer = customerIn(found);
    if (nameOf(customer) == nameOf(m_customer)) {
        // Rank and limit may have changed.
        m_customer = std::move(customer);
        return true;
    }
    m_proxy.metrics.count("vanillahall_requests_moved_total", {});
    m_proxy.log(LogLevel::Info,
                EventNumber::CustomerChanged,
                "request=" + m_request.attributes.requestId + customerFields()
                    + " config=" + std::to_string(m_proxy.routes.config().version) + " may_have_run=" + std::to_string(m_mayHaveRun));
    if (m_mayHaveRun != 0) {
        answer(StatusBadGateway, std::nullopt, Outcome::KeyMoved);
    } else {
        changeCustomer(std::move(customer));
    }
    return false;
}

void Exchange::refuseKey(const Identification &found)
{
    const auto refusal = std::visit(KeyRefusalOf(), found);
    if (!refusal) {
        return;
    }
    if (refusal->outcome != Outcome::KeyUnknown) {
        m_proxy.logUncertainConfig();
    }
    if (m_mayHaveRun != 0) {
        answer(StatusBadGateway, std::nullopt, refusal->outcome);
    } else {
        answer(refusal->status, refusal->retryAfter, refusal->outcome);
    }
}

void Exchange::setCustomer(std::optional<CustomerIdentity> customer)
{
    m_customer = std::move(customer);
    m_ownerPrefix = ownerPrefix(nameOf(m_customer));
    m_programKey = keyOf(m_request.attributes.program);
}

void Exchange::changeCustomer(std::optional<CustomerIdentity> customer)
{
    stopTimer(m_waitTimer);
    m_waitsForStore = false;
    settleTokens();
    if (m_conversation) {
        m_request.body = m_conversation->turn().input();
        m_conversation->end(false);
        m_proxy.reserveBodyBytes(std::exchange(m_conversationBytes, 0), 0);
        m_conversation.reset();
        m_hasConversation = false;
    }
    m_origin.reset();
    m_newVersion.reset();
    setCustomer(std::move(customer));
    startForCustomer();
}

void Exchange::startForCustomer()
{
    if (const auto refusal = checkContent()) {
        answer(refusal->status, refusal->retryAfter, refusal->outcome);
        return;
    }
    if (!refuseOverload()) {
        requestPermit();
    }
}

std::optional<Refusal> Exchange::checkContent()
{
    const auto &attributes = m_request.attributes;
    if (!isTurnNameValid()) {
        return Refusal{StatusBadRequest, std::nullopt, Outcome::FaultyTurnName};
    }
    if (!Platform::isStoreKey(m_programKey)) {
        return Refusal{StatusBadRequest, std::nullopt, Outcome::ProgramNameTooLong};
    }
    m_features
        = requestFeatures({m_request.method, m_request.target, attributes.program, m_request.body, m_ownerPrefix, &attributes.promptParts});
    if (auto refusal = quarantineRefusal()) {
        return refusal;
    }
    if (isResumed()) {
        m_origin = m_proxy.streamOrigins.find(keyOf(attributes.resumedRequest));
    }
    return std::nullopt;
}

std::uint64_t Exchange::content() const
{
    return m_features.empty() ? 0 : m_features.front().hash;
}

std::string Exchange::keyOf(const std::string &id) const
{
    return m_proxy.customers.hasCustomers() ? ownedKey(m_ownerPrefix, id) : id;
}

std::string Exchange::customerFields() const
{
    if (!m_proxy.customers.hasCustomers()) {
        return {};
    }
    constexpr std::size_t HashDigits = 16;
    const auto &key = m_request.attributes.customerKey;
    std::string text = " customer=" + m_ownerPrefix.substr(0, HashDigits);
    if (!m_customer && !key.empty()) {
        text += " key=" + std::to_string(XXH3_64bits(key.data(), key.size()));
    }
    return text;
}

} // namespace Vanillahall::Forward
