/** Random values and comparison of plain structs, field by field, so that new fields are covered without changes here. */
#pragma once

#include "vanillahall/core/message_type.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <rapidcheck.h>

namespace Vanillahall::AnyAggregate {

/** Implicitly convertible to the type of any field. */
struct AnyField
{
    template<typename Field>
    operator Field() const;
};

template<typename Type, std::size_t... Index>
constexpr bool hasFields(std::index_sequence<Index...>)
{
    return requires
    {
        Type{((void)Index, AnyField{})...};
    };
}

constexpr std::size_t MaxFields = 20; ///< Upper bound on the number of fields of a struct.

/** @return Number of fields of a struct. */
template<typename Type, std::size_t Count = MaxFields>
constexpr std::size_t fieldCount()
{
    if constexpr (Count == 0 || hasFields<Type>(std::make_index_sequence<Count>())) {
        return Count;
    } else {
        return fieldCount<Type, Count - 1>();
    }
}

/** @return References to all fields of a struct. */
template<typename Type>
auto fieldsOf(Type &it)
{
    constexpr std::size_t Count = fieldCount<std::remove_const_t<Type>>();
    static_assert(Count > 0 && Count < MaxFields);
    if constexpr (Count == 1) {
        auto &[a] = it;
        return std::tie(a);
    } else if constexpr (Count == 2) {
        auto &[a, b] = it;
        return std::tie(a, b);
    } else if constexpr (Count == 3) {
        auto &[a, b, c] = it;
        return std::tie(a, b, c);
    } else if constexpr (Count == 4) {
        auto &[a, b, c, d] = it;
        return std::tie(a, b, c, d);
    } else if constexpr (Count == 5) {
        auto &[a, b, c, d, e] = it;
        return std::tie(a, b, c, d, e);
    } else if constexpr (Count == 6) {
        auto &[a, b, c, d, e, f] = it;
        return std::tie(a, b, c, d, e, f);
    } else if constexpr (Count == 9) {
        auto &[a, b, c, d, e, f, g, h, i] = it;
        return std::tie(a, b, c, d, e, f, g, h, i);
    } else if constexpr (Count == 11) {
        auto &[a, b, c, d, e, f, g, h, i, j, k] = it;
        return std::tie(a, b, c, d, e, f, g, h, i, j, k);
    } else {
        static_assert(Count == 19, "add a case for this number of fields");
        auto &[a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q, r, s] = it;
        return std::tie(a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q, r, s);
    }
}

inline auto fieldsOf(Error &it)
{
    return std::tie(it.code, it.run, it.step, it.peer, it.message, it.retryAfter);
}

inline auto fieldsOf(const Error &it)
{
    return std::tie(it.code, it.run, it.step, it.peer, it.message, it.retryAfter);
}

inline auto fieldsOf(CreateProgram &it)
{
    return std::tie(it.className, it.budget, it.parent, it.idempotencyKey);
}

inline auto fieldsOf(const CreateProgram &it)
{
    return std::tie(it.className, it.budget, it.parent, it.idempotencyKey);
}

inline auto fieldsOf(TurnView &it)
{
    return std::tie(it.key, it.state, it.input, it.outcome, it.server, it.attempt, it.began, it.ended, it.durable);
}

inline auto fieldsOf(const TurnView &it)
{
    return std::tie(it.key, it.state, it.input, it.outcome, it.server, it.attempt, it.began, it.ended, it.durable);
}

constexpr int lastOf(ErrorCode)
{
    return static_cast<int>(ErrorCode::Internal);
}
constexpr int lastOf(RunState)
{
    return static_cast<int>(RunState::Unknown);
}
constexpr int lastOf(Step)
{
    return static_cast<int>(Step::End);
}
constexpr int lastOf(ServerState)
{
    return static_cast<int>(ServerState::Leaving);
}
constexpr int lastOf(HeldState)
{
    return static_cast<int>(HeldState::Finished);
}
constexpr int lastOf(PoolKind)
{
    return static_cast<int>(PoolKind::Service);
}
constexpr int lastOf(TurnState)
{
    return static_cast<int>(TurnState::Finished);
}

/** Sets a value to random data. */
template<typename Type>
void fill(Type &it);
template<typename Rep, typename Period>
void fill(std::chrono::duration<Rep, Period> &it);
template<typename Clock, typename Span>
void fill(std::chrono::time_point<Clock, Span> &it);
template<typename Item>
void fill(std::vector<Item> &it);
template<typename Item>
void fill(std::optional<Item> &it);
template<typename... Items>
void fill(std::variant<Items...> &it);

template<typename Rep, typename Period>
void fill(std::chrono::duration<Rep, Period> &it)
{
    it = std::chrono::duration<Rep, Period>(*rc::gen::arbitrary<Rep>());
}

template<typename Clock, typename Span>
void fill(std::chrono::time_point<Clock, Span> &it)
{
    it = std::chrono::time_point<Clock, Span>(Span(*rc::gen::arbitrary<typename Span::rep>()));
}

template<typename Item>
void fill(std::vector<Item> &it)
{
    it.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (Item &item : it) {
        fill(item);
    }
}

template<typename Item>
void fill(std::optional<Item> &it)
{
    if (*rc::gen::arbitrary<bool>()) {
        fill(it.emplace());
    }
}

template<std::size_t Index = 0, typename... Items>
void fillAlternative(std::variant<Items...> &it, std::size_t index)
{
    if constexpr (Index < sizeof...(Items)) {
        if (index == Index) {
            fill(it.template emplace<Index>());
        } else {
            fillAlternative<Index + 1>(it, index);
        }
    }
}

template<typename... Items>
void fill(std::variant<Items...> &it)
{
    fillAlternative(it, *rc::gen::inRange<std::size_t>(0, sizeof...(Items)));
}

template<typename Type>
void fill(Type &it)
{
    if constexpr (std::is_enum_v<Type>) {
        it = static_cast<Type>(*rc::gen::inRange(0, lastOf(Type{}) + 1));
    } else if constexpr (std::is_arithmetic_v<Type> || std::is_same_v<Type, std::string>) {
        it = *rc::gen::arbitrary<Type>();
    } else {
        std::apply(
            [](auto &...field) {
                (fill(field), ...);
            },
            fieldsOf(it));
    }
}

/** @return True if two values are equal in every field. */
template<typename Type>
bool same(const Type &a, const Type &b);
template<typename Item>
bool same(const std::vector<Item> &a, const std::vector<Item> &b);
template<typename Item>
bool same(const std::optional<Item> &a, const std::optional<Item> &b);
template<typename... Items>
bool same(const std::variant<Items...> &a, const std::variant<Items...> &b);
template<typename Rep, typename Period>
bool same(const std::chrono::duration<Rep, Period> &a, const std::chrono::duration<Rep, Period> &b);
template<typename Clock, typename Span>
bool same(const std::chrono::time_point<Clock, Span> &a, const std::chrono::time_point<Clock, Span> &b);

template<typename Item>
bool same(const std::vector<Item> &a, const std::vector<Item> &b)
{
    bool equal = a.size() == b.size();
    for (std::size_t i = 0; equal && i < a.size(); ++i) {
        equal = same(a[i], b[i]);
    }
    return equal;
}

template<typename Item>
bool same(const std::optional<Item> &a, const std::optional<Item> &b)
{
    return a.has_value() == b.has_value() && (!a || same(*a, *b));
}

template<typename... Items>
bool same(const std::variant<Items...> &a, const std::variant<Items...> &b)
{
    if (a.index() != b.index()) {
        return false;
    }
    return std::visit(
        [&b](const auto &item) {
            return same(item, std::get<std::decay_t<decltype(item)>>(b));
        },
        a);
}

template<typename Rep, typename Period>
bool same(const std::chrono::duration<Rep, Period> &a, const std::chrono::duration<Rep, Period> &b)
{
    return a == b;
}

template<typename Clock, typename Span>
bool same(const std::chrono::time_point<Clock, Span> &a, const std::chrono::time_point<Clock, Span> &b)
{
    return a == b;
}

template<typename Type, std::size_t... Index>
bool sameFields(const Type &a, const Type &b, std::index_sequence<Index...>)
{
    const auto first = fieldsOf(a);
    const auto second = fieldsOf(b);
    return (same(std::get<Index>(first), std::get<Index>(second)) && ...);
}

template<typename Type>
bool same(const Type &a, const Type &b)
{
    if constexpr (std::is_enum_v<Type> || std::is_arithmetic_v<Type> || std::is_same_v<Type, std::string>) {
        return a == b;
    } else {
        using Fields = decltype(fieldsOf(a));
        return sameFields(a, b, std::make_index_sequence<std::tuple_size_v<Fields>>());
    }
}

} // namespace Vanillahall::AnyAggregate
