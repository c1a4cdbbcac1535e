#include "vanillahall/core/customer/customer_directory_base.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t PrefixBytes = 17;                         ///< 16 hexadecimal digits and a dot.
constexpr std::string_view UnownedPrefix = "0000000000000000."; ///< Prefix of ids without a customer that look like keys of customers.

} // namespace

CustomerDirectory::CustomerDirectory(CustomerSettings settings)
    : m_settings(settings)
{
}

void CustomerDirectory::apply(const Config &config)
{
    std::size_t keys = 0;
    for (const auto &it : config.customers) {
        keys += it.keys.size();
    }
    m_customers.clear();
    m_customers.reserve(config.customers.size());
    m_byKey.clear();
    m_byKey.reserve(keys);
    m_hasCustomers = config.hasCustomers;
    for (const auto &it : config.customers) {
        for (const auto &key : it.keys) {
            m_byKey.emplace(key, m_customers.size());
        }
        m_customers.push_back({it.name, it.rank, it.limit});
    }
}

Identification CustomerDirectory::identify(bool needsKey, std::string_view key, const ConfigStanding &standing) const
{
    if (!m_hasCustomers) {
        return NoCustomer{};
    }
    const auto it = key.empty() ? m_byKey.end() : m_byKey.find(key);
    const bool isUnconfirmed = m_settings.failsClosed && standing.confirmedAgo > m_settings.revocationTime;
    if (it != m_byKey.end()) {
        // Also on a public route: without its customer the request would be told that its turns don't exist.
        return isUnconfirmed ? Identification(UnconfirmedKey{}) : m_customers[it->second];
    }
    if (!needsKey) {
        return NoCustomer{};
    }
    return standing.isCurrent() ? Identification(UnknownKey{}) : UncertainKey{};
}

bool CustomerDirectory::hasCustomers() const
{
    return m_hasCustomers;
}

std::size_t CustomerDirectory::keyCount() const
{
    return m_byKey.size();
}

std::string ownerPrefix(std::string_view customer)
{
    if (customer.empty()) {
        return {};
    }
    std::array<char, PrefixBytes + 1> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx.", static_cast<unsigned long long>(XXH3_64bits(customer.data(), customer.size())));
    return buf.data();
}

std::string_view ownerOf(std::string_view key)
{
    const auto prefix = key.substr(0, PrefixBytes);
    const bool hasPrefix
        = prefix.size() == PrefixBytes && prefix.back() == '.' && std::all_of(prefix.begin(), prefix.end() - 1, [](char c) {
              return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
          });
    return hasPrefix ? prefix : std::string_view();
}

std::string ownedKey(std::string_view prefix, std::string_view id)
{
    if (id.empty()) {
        return {};
    }
    const auto owner = prefix.empty() && !ownerOf(id).empty() ? UnownedPrefix : prefix;
    return std::string(owner).append(id);
}

std::string_view idOfKey(std::string_view key)
{
    return key.substr(ownerOf(key).size());
}

} // namespace Vanillahall::Forward
