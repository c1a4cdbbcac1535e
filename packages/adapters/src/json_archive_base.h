/** Archives that convert stored types to JSON values and back. */
#pragma once

#include "json_fields_func.h"
#include "table/enum_name.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace Vanillahall {

template<typename T>
inline constexpr bool IsVector = false;
template<typename T>
inline constexpr bool IsVector<std::vector<T>> = true;
template<typename T>
inline constexpr bool IsOptional = false;
template<typename T>
inline constexpr bool IsOptional<std::optional<T>> = true;
template<typename T>
inline constexpr bool IsVariant = false;
template<typename... T>
inline constexpr bool IsVariant<std::variant<T...>> = true;
template<typename T>
inline constexpr bool IsName = false;
template<typename Tag>
inline constexpr bool IsName<Name<Tag>> = true;
template<typename T>
inline constexpr bool IsNumber = false;
template<typename Tag, typename Rep>
inline constexpr bool IsNumber<Number<Tag, Rep>> = true;
template<typename T>
inline constexpr bool IsDuration = false;
template<typename Rep, typename Period>
inline constexpr bool IsDuration<std::chrono::duration<Rep, Period>> = true;
template<typename T>
inline constexpr bool IsTimePoint = false;
template<typename Clock, typename Span>
inline constexpr bool IsTimePoint<std::chrono::time_point<Clock, Span>> = true;

inline constexpr std::string_view KindMember = "kind"; ///< Member that names the alternative of a variant.
inline constexpr std::string_view HexMember = "hex";   ///< Member that holds the hexadecimal form of a text.

/** @return The bytes as lower-case hexadecimal digits. */
std::string toHex(std::string_view bytes);

/** @return The bytes, or nothing if `text` is not a valid sequence of hexadecimal digit pairs. */
std::optional<std::string> fromHex(std::string_view text);

/** Encoding of texts. */
enum class TextForm : std::uint8_t {
    Plain, ///< JSON strings; only for valid UTF-8.
    Hex,   ///< Hexadecimal digits; for any bytes.
};

/** Archive that writes the members of one JSON object. */
class JsonWriter
{
public:
    explicit JsonWriter(TextForm form)
        : m_form(form)
    {
    }

    /** Writes a member. */
    template<typename T>
    void operator()(std::string_view name, const T &value)
    {
        m_object[std::string(name)] = write(value);
    }

    /** @return The object. */
    nlohmann::json take()
    {
        return std::move(m_object);
    }

private:
    template<typename T>
    nlohmann::json write(const T &value) const
    {
        if constexpr (std::is_same_v<T, bool>) {
            return value;
        } else if constexpr (std::is_enum_v<T>) {
            return std::string(toText(value));
        } else if constexpr (std::is_integral_v<T>) {
            return writeInteger(value);
        } else if constexpr (std::is_same_v<T, std::string>) {
            return writeText(value);
        } else if constexpr (IsName<T>) {
            return writeText(value.text);
        } else if constexpr (IsNumber<T>) {
            return writeInteger(value.value);
        } else if constexpr (IsDuration<T>) {
            return writeInteger(value.count());
        } else if constexpr (IsTimePoint<T>) {
            return writeInteger(value.time_since_epoch().count());
        } else if constexpr (IsOptional<T>) {
            return value ? write(*value) : nlohmann::json();
        } else if constexpr (IsVector<T>) {
            nlohmann::json list = nlohmann::json::array();
            for (const auto &it : value) {
                list.push_back(write(it));
            }
            return list;
        } else if constexpr (IsVariant<T>) {
            return std::visit(
                [this](const auto &it) {
                    return writeKind(it);
                },
                value);
        } else {
            JsonWriter member(m_form);
            fields(member, value);
            return member.take();
        }
    }

    template<typename T>
    nlohmann::json writeKind(const T &value) const
    {
        JsonWriter member(m_form);
        member.m_object[std::string(KindMember)] = KindName<T>; // Plain text in every TextForm.
        fields(member, value);
        return member.take();
    }

    template<typename T>
    static nlohmann::json writeInteger(T value)
    {
        // Larger integers are written as strings, since JSON parsers may use doubles.
        constexpr std::int64_t LargestExact = std::int64_t{1} << 53;
        if (std::cmp_greater(value, LargestExact) || std::cmp_less(value, -LargestExact)) {
            return std::to_string(value);
        }
        return value;
    }

    nlohmann::json writeText(const std::string &text) const
    {
        if (m_form == TextForm::Hex) {
            nlohmann::json hex = nlohmann::json::object();
            hex[std::string(HexMember)] = toHex(text);
            return hex;
        }
        return text;
    }

    nlohmann::json m_object = nlohmann::json::object();
    TextForm m_form;
};

/** Archive that reads the members of one JSON object. Accepts any JSON value; stops at the first invalid member. */
class JsonReader
{
public:
    /** @param errorPath Set to the path of the first missing or invalid member; left empty if there is none. */
    JsonReader(const nlohmann::json &object, std::string &errorPath)
        : m_object(object)
        , m_errorPath(errorPath)
    {
    }

    /** Reads a member. */
    template<typename T>
    void operator()(std::string_view name, T &value)
    {
        if (!m_errorPath.empty()) {
            return;
        }
        const auto it = m_object.is_object() ? m_object.find(name) : m_object.end();
        if (it == m_object.end() || !read(*it, value)) {
            m_errorPath = m_errorPath.empty() ? std::string(name) : std::string(name) + "." + m_errorPath;
        }
    }

private:
    template<typename T>
    bool read(const nlohmann::json &json, T &value)
    {
        if constexpr (std::is_same_v<T, bool>) {
            value = json.is_boolean() && json.get<bool>();
            return json.is_boolean();
        } else if constexpr (std::is_enum_v<T>) {
            return readEnum(json, value);
        } else if constexpr (std::is_integral_v<T>) {
            return readInteger(json, value);
        } else if constexpr (std::is_same_v<T, std::string>) {
            return readText(json, value);
        } else if constexpr (IsName<T>) {
            return readText(json, value.text);
        } else if constexpr (IsNumber<T>) {
            return readInteger(json, value.value);
        } else if constexpr (IsDuration<T>) {
            typename T::rep count{};
            const bool valid = readInteger(json, count);
            value = T(count);
            return valid;
        } else if constexpr (IsTimePoint<T>) {
            typename T::duration span{};
            const bool valid = read(json, span);
            value = T(span);
            return valid;
        } else if constexpr (IsOptional<T>) {
            value.reset();
            return json.is_null() || read(json, value.emplace());
        } else if constexpr (IsVector<T>) {
            return readList(json, value);
        } else if constexpr (IsVariant<T>) {
            return readKind(json, value);
        } else {
            JsonReader member(json, m_errorPath);
            fields(member, value);
            return m_errorPath.empty();
        }
    }

    template<typename T>
    static bool readEnum(const nlohmann::json &json, T &value)
    {
        if (!json.is_string()) {
            return false;
        }
        const auto found = enumFromText<T>(json.get_ref<const std::string &>());
        value = found.value_or(T{});
        return found.has_value();
    }

    template<typename T>
    static bool readInteger(const nlohmann::json &json, T &value)
    {
        if (json.is_string()) {
            const auto &text = json.get_ref<const std::string &>();
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
            return ec == std::errc() && end == text.data() + text.size();
        }
        if (json.is_number_unsigned()) {
            const auto number = json.get<std::uint64_t>();
            value = static_cast<T>(number);
            return std::in_range<T>(number);
        }
        if (json.is_number_integer()) {
            const auto number = json.get<std::int64_t>();
            value = static_cast<T>(number);
            return std::in_range<T>(number);
        }
        return false;
    }

    static bool readText(const nlohmann::json &json, std::string &text)
    {
        if (json.is_string()) {
            text = json.get_ref<const std::string &>();
            return true;
        }
        const auto it = json.is_object() ? json.find(HexMember) : json.end();
        if (it == json.end() || !it->is_string()) {
            return false;
        }
        const auto bytes = fromHex(it->get_ref<const std::string &>());
        text = bytes.value_or(std::string());
        return bytes.has_value();
    }

    template<typename T>
    bool readList(const nlohmann::json &json, std::vector<T> &list)
    {
        list.clear();
        if (!json.is_array()) {
            return false;
        }
        list.reserve(json.size());
        for (const auto &it : json) {
            if (!read(it, list.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    template<typename... T>
    bool readKind(const nlohmann::json &json, std::variant<T...> &value)
    {
        const auto it = json.is_object() ? json.find(KindMember) : json.end();
        if (it == json.end() || !it->is_string()) {
            return false;
        }
        const std::string_view kind = it->get_ref<const std::string &>();
        return (readIfKind<T>(json, kind, value) || ...);
    }

    template<typename T, typename Variant>
    bool readIfKind(const nlohmann::json &json, std::string_view kind, Variant &value)
    {
        return kind == KindName<T> && read(json, value.template emplace<T>());
    }

    const nlohmann::json &m_object;
    std::string &m_errorPath;
};

} // namespace Vanillahall
