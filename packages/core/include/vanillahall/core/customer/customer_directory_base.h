/**
 * Customers of the operators' configuration, and the customer of a request by its API key.
 * Load pattern: thousands of keys of many customers; each request is looked up, and versions that add, move and remove keys follow each
 * other while requests wait.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <functional>
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
/** The key is known, but its validity hasn't been confirmed for too long. */
struct UnconfirmedKey
{
};
using Identification = std::variant<NoCustomer, CustomerIdentity, UnknownKey, UncertainKey, UnconfirmedKey>; ///< Result of the lookup.

/** An unknown key is refused for good only if the configuration was confirmed within this time; a newer one may contain the key. */
inline constexpr Duration MaxConfigAge = std::chrono::seconds(2);

/** Settings of the customer directory. */
struct CustomerSettings
{
    bool failsClosed = false; ///< True to refuse known keys once the configuration hasn't been confirmed for `revocationTime`.
    Duration revocationTime = std::chrono::seconds(5); ///< Longest time for which a known key stays valid unconfirmed.
};

/** How well a proxy knows that its configuration is the newest one. */
struct ConfigStanding
{
    Duration confirmedAgo{};           ///< Time since the store confirmed that it has no newer version.
    bool hasUnreadableVersion = false; ///< True if the store has a newer version that was refused.

    /** @return True if no other configuration can be in force. */
    [[nodiscard]] bool isCurrent() const
    {
        return confirmedAgo <= MaxConfigAge && !hasUnreadableVersion;
    }
};

/** Finds customers by API keys. */
class CustomerDirectory
{
public:
    explicit CustomerDirectory(CustomerSettings settings = {});

    // Commands.

    /** Replaces all customers by those of a configuration. */
    void apply(const Config &config);

    // Queries.

    /**
     * Finds the customer of a request.
     * @param needsKey True if the route needs a key.
     * @param key API key of the request; empty if it has none.
     * @param standing How well the configuration is known to be the newest one.
     */
    [[nodiscard]] Identification identify(bool needsKey, std::string_view key, const ConfigStanding &standing) const;
    /** @return True if the configuration names customers. */
    [[nodiscard]] bool hasCustomers() const;
    /** @return Number of API keys. */
    [[nodiscard]] std::size_t keyCount() const;

private:
    /** Hash by which a key is looked up without a copy of it. */
    struct KeyHash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view key) const
        {
            return std::hash<std::string_view>()(key);
        }
    };

    CustomerSettings m_settings;
    std::vector<CustomerIdentity> m_customers;
    std::unordered_map<std::string, std::size_t, KeyHash, std::equal_to<>> m_byKey; ///< Positions in `m_customers` by API key.
    bool m_hasCustomers = false;
};

/**
 * @return Prefix of the keys under which a customer's turns, programs, crash records and stream origins are stored, so that customers
 * can't reach each other's; empty for no customer.
 */
[[nodiscard]] std::string ownerPrefix(std::string_view customer);

/** @return Owner's prefix at the beginning of a stored key; empty if the text doesn't begin like one. */
[[nodiscard]] std::string_view ownerOf(std::string_view key);

/**
 * @param prefix ownerPrefix() of the request's customer.
 * @param id Id as sent by the client.
 * @return Key of something stored in a deployment with customers; empty if the id is. An id without a customer that looks like the key of a
 * customer gets a prefix of its own, so that it can't reach that customer's rows; any other one is unchanged.
 */
[[nodiscard]] std::string ownedKey(std::string_view prefix, std::string_view id);

/** @return Id as sent by the client, from a key made by ownedKey(). */
[[nodiscard]] std::string_view idOfKey(std::string_view key);

} // namespace Vanillahall::Forward
