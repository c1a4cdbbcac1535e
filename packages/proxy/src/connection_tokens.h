/** Names listed in the Connection fields of a head. */
#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace Vanillahall::Forward {

/** Order of names without regard to case. */
struct NameLess
{
    bool operator()(boost::beast::string_view left, boost::beast::string_view right) const
    {
        return boost::beast::iless()(left, right);
    }
};

/**
 * The tokens of all Connection fields of a head, whose fields concern this connection only.
 *
 * Load pattern: heads of the permitted size in which half of the bytes are tokens and the others short fields. The tokens are sorted once,
 * so that the cost of a head doesn't grow with the product of both.
 */
template<typename Less = NameLess>
class ConnectionTokens
{
public:
    /** @param head Must outlive this object. */
    explicit ConnectionTokens(const boost::beast::http::fields &head, Less less = {})
        : m_less(less)
    {
        const auto [begin, end] = head.equal_range(boost::beast::http::field::connection);
        for (auto it = begin; it != end; ++it) {
            for (const auto &token : boost::beast::http::token_list(it->value())) {
                m_tokens.push_back(token);
            }
        }
        std::sort(m_tokens.begin(), m_tokens.end(), m_less);
    }

    /** @return True if a field of this name is listed. */
    [[nodiscard]] bool contains(std::string_view name) const
    {
        return std::binary_search(m_tokens.begin(), m_tokens.end(), boost::beast::string_view(name.data(), name.size()), m_less);
    }

private:
    Less m_less;
    std::vector<boost::beast::string_view> m_tokens; ///< Sorted; parts of the head.
};

} // namespace Vanillahall::Forward
