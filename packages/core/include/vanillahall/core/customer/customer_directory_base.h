/**
 * Customers of the operators' configuration, and the customer of a request by its API key.
 * Load pattern: thousands of keys of many customers; each request is looked up, and versions that add, move and remove keys follow each
 * other while requests wait.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <string_view>
#include <unordered_map>
#include <variant>

namespace Vanillahall::Forward {

/** Customer of a request. */
struct CustomerIdentity
{
    std::string name;       ///< Name, as servers are told it.
    std::uint32_t rank = 0; ///< Urgency; 0 is the most urgent.
    CustomerLimit limit;    ///< Rate limit.
};

/** The configuration names no customers, or the route needs no key and the request has none that is known. */
struct NoCustomer
{
};
/** No customer has the key. */
struct UnknownKey
{
};
/** The key can't be judged, since the configuration may be outdated. */
struct UncertainKey
{
};
using Identification = std::variant<NoCustomer, CustomerIdentity, UnknownKey, UncertainKey>; ///< Result of the lookup.

/** Finds customers by API keys. */
class CustomerDirectory
{
public:
    // Commands.

    /** Replaces all customers by those of a configuration. */
    void apply(const Config &config);

    // Queries.

    /**
     * Finds the customer of a request.
     * @param needsKey True if the route needs a key.
     * @param key API key of the request; empty if it has none.
     * @param isCurrent True if the configuration is known to be the newest one.
     */
    [[nodiscard]] Identification identify(bool needsKey, std::string_view key, bool isCurrent) const;
    /** @return True if the configuration names customers. */
    [[nodiscard]] bool hasCustomers() const;
    /** @return Number of API keys. */
    [[nodiscard]] std::size_t keyCount() const;

private:
    std::vector<CustomerIdentity> m_customers;
    std::unordered_map<std::string, std::size_t> m_byKey; ///< Positions in `m_customers` by API key.
    bool m_hasCustomers = false;
};

/**
 * @return Prefix of the keys under which a customer's turns, programs, crash records and stream origins are stored, so that customers
 * can't reach each other's; empty for no customer.
 */
[[nodiscard]] std::string ownerPrefix(std::string_view customer);

} // namespace Vanillahall::Forward
