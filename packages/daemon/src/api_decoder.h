/** Field-by-field decoder of a request's JSON body and headers. */
#pragma once

#include "api_func.h"

#include "vanillahall/core/error_func.h"
#include "vanillahall/core/id_func.h"

#include <nlohmann/json.hpp>

namespace Vanillahall {

inline constexpr std::size_t MaxNameLength = 200; ///< Longest name in bytes; keys of the platform's store are limited to 200.

/** @return True if arrays and objects of the JSON text nest deeper than 64 levels. */
inline bool isNestedTooDeep(std::string_view text)
{
    constexpr int MaxDepth = 64;
    int depth = 0;
    bool isInString = false;
    for (std::size_t n = 0; n < text.size(); n++) {
        const char c = text[n];
        if (isInString && c == '\\') {
            n++;
        } else if (c == '"') {
            isInString = !isInString;
        } else if (!isInString && (c == '[' || c == '{')) {
            depth++;
        } else if (!isInString && (c == ']' || c == '}')) {
            depth--;
        }
        if (depth > MaxDepth) {
            return true;
        }
    }
    return false;
}

/** Decodes one request. After an error decoding may continue; only the first error is reported. */
class ApiDecoder
{
public:
    ApiDecoder(const HttpRequest &request, Error &reason)
        : m_request(request)
        , m_reason(reason)
    {
    }

    std::nullopt_t fail(ErrorCode code, const std::string &message)
    {
        if (!m_failed) {
            m_reason = notRun(code, Step::Decode, m_request.peer, message);
        }
        m_failed = true;
        return std::nullopt;
    }

    std::nullopt_t failField(const std::string &field, const std::string &expected)
    {
        return fail(ErrorCode::BadRequest, "'" + field + "': expected " + expected);
    }

    bool parseBody()
    {
        if (isNestedTooDeep(m_request.body)) {
            fail(ErrorCode::BadRequest, "the body is nested too deep");
            return false;
        }
        m_body = nlohmann::json::parse(m_request.body, nullptr, false);
        if (m_body.is_discarded()) {
            fail(ErrorCode::BadRequest, "the body is not JSON");
        } else if (!m_body.is_object()) {
            fail(ErrorCode::BadRequest, "the body is not a JSON object");
        }
        return !m_failed;
    }

    std::uint64_t number(const nlohmann::json &object,
                         const char *field,
                         std::uint64_t minimum,
                         std::uint64_t maximum,
                         std::optional<std::uint64_t> defaultValue)
    {
        const auto it = object.find(field);
        if (it == object.end() && defaultValue) {
            return *defaultValue;
        }
        if (it == object.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() < minimum || it->get<std::uint64_t>() > maximum) {
            failField(field, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return 0;
        }
        return it->get<std::uint64_t>();
    }

    std::string text(const nlohmann::json &object, const char *field)
    {
        const auto it = object.find(field);
        if (it == object.end() || !it->is_string() || it->get_ref<const std::string &>().empty()
            || it->get_ref<const std::string &>().size() > MaxNameLength) {
            failField(field, "a non-empty text of at most " + std::to_string(MaxNameLength) + " bytes");
            return {};
        }
        return it->get<std::string>();
    }

    bool flag(const nlohmann::json &object, const char *field, std::optional<bool> defaultValue)
    {
        const auto it = object.find(field);
        if (it == object.end() && defaultValue) {
            return *defaultValue;
        }
        if (it == object.end() || !it->is_boolean()) {
            failField(field, "true or false");
            return false;
        }
        return it->get<bool>();
    }

    std::vector<std::string> messages(const nlohmann::json &object)
    {
        std::vector<std::string> list;
        const auto it = object.find("messages");
        if (it == object.end() || !it->is_array() || it->empty()) {
            failField("messages", "a non-empty array of objects with role and content");
            return list;
        }
        for (const auto &message : *it) {
            if (!message.is_object() || !message.contains("role") || !message["role"].is_string() || !message.contains("content")) {
                failField("messages", "a non-empty array of objects with role and content");
                return list;
            }
            list.push_back(message.dump());
        }
        return list;
    }

    std::string header(std::string_view name) const
    {
        for (const auto &it : m_request.headers) {
            if (it.name == name) {
                return it.value;
            }
        }
        return {};
    }

    [[nodiscard]] const nlohmann::json &body() const
    {
        return m_body;
    }

    [[nodiscard]] bool failed() const
    {
        return m_failed;
    }

private:
    const HttpRequest &m_request;
    Error &m_reason;
    nlohmann::json m_body;
    bool m_failed = false;
};

} // namespace Vanillahall
