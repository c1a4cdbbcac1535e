/** Names of enumerators in stored texts. A name must not be reused with another meaning. */
#pragma once

#include "vanillahall/core/config_type.h"
#include "vanillahall/core/error_func.h"
#include "vanillahall/core/store_type.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Vanillahall {

/** Number of enumerators; specialised for each enumeration. */
template<typename Enum>
inline constexpr std::size_t EnumCount = 0;

template<>
inline constexpr std::size_t EnumCount<RunState> = static_cast<std::size_t>(RunState::Unknown) + 1;
template<>
inline constexpr std::size_t EnumCount<ErrorCode> = static_cast<std::size_t>(ErrorCode::Internal) + 1;
template<>
inline constexpr std::size_t EnumCount<Step> = static_cast<std::size_t>(Step::End) + 1;
template<>
inline constexpr std::size_t EnumCount<ServerState> = static_cast<std::size_t>(ServerState::Leaving) + 1;
template<>
inline constexpr std::size_t EnumCount<VmState> = static_cast<std::size_t>(VmState::Leaving) + 1;
template<>
inline constexpr std::size_t EnumCount<VmRole> = static_cast<std::size_t>(VmRole::Server) + 1;

inline constexpr std::array<std::string_view, EnumCount<ServerState>> ServerStateNames{"coming", "leaving"};
inline constexpr std::array<std::string_view, EnumCount<VmState>> VmStateNames{"live", "leaving"};
inline constexpr std::array<std::string_view, EnumCount<VmRole>> VmRoleNames{"entry", "server"};

/** @return The enumerator's name. */
inline std::string_view toText(ServerState state)
{
    return ServerStateNames[static_cast<std::size_t>(state)];
}

/** @return The enumerator's name. */
inline std::string_view toText(VmState state)
{
    return VmStateNames[static_cast<std::size_t>(state)];
}

/** @return The enumerator's name. */
inline std::string_view toText(VmRole role)
{
    return VmRoleNames[static_cast<std::size_t>(role)];
}

/** @return The enumerator with that name, or nothing. */
template<typename Enum>
std::optional<Enum> enumFromText(std::string_view text)
{
    for (std::size_t n = 0; n < EnumCount<Enum>; n++) {
        if (toText(static_cast<Enum>(n)) == text) {
            return static_cast<Enum>(n);
        }
    }
    return std::nullopt;
}

} // namespace Vanillahall
