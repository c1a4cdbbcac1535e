#include "vanillahall/core/customer/customer_directory_base.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace Vanillahall::Forward {

void CustomerDirectory::apply(const Config &config)
{
    m_customers.clear();
    m_byKey.clear();
    m_hasCustomers = config.hasCustomers;
    for (const auto &it : config.customers) {
        for (const auto &key : it.keys) {
            m_byKey.emplace(key, m_customers.size());
        }
        m_customers.push_back({it.name, it.rank, it.limit});
    }
}

Identification CustomerDirectory::identify(bool needsKey, std::string_view key, bool isCurrent) const
{
    if (!m_hasCustomers) {
        return NoCustomer{};
    }
    const auto it = key.empty() ? m_byKey.end() : m_byKey.find(std::string(key));
    if (it != m_byKey.end()) {
        return m_customers[it->second];
    }
    if (!needsKey) {
        return NoCustomer{};
    }
    // A request without a key is refused by every configuration with customers.
    return isCurrent || key.empty() ? Identification(UnknownKey{}) : UncertainKey{};
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
    constexpr std::size_t PrefixBytes = 17; // 16 hexadecimal digits and a dot.
    std::array<char, PrefixBytes + 1> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx.", static_cast<unsigned long long>(XXH3_64bits(customer.data(), customer.size())));
    return buf.data();
}

} // namespace Vanillahall::Forward
