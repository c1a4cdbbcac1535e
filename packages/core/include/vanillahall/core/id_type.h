/** Strong types for every identifier that core handles. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Vanillahall {

/** A number that can only be compared with numbers of the same kind. */
template<typename Tag, typename Rep = std::uint64_t>
struct Number
{
    Rep value{}; ///< The plain number.

    auto operator<=>(const Number &) const = default; // NOLINT(modernize-use-nullptr): a false positive on defaulted comparisons
};

/** A text that can only be compared with texts of the same kind. */
template<typename Tag>
struct Name
{
    std::string text; ///< The plain text; empty means "none".

    auto operator<=>(const Name &) const = default; // NOLINT(modernize-use-nullptr): a false positive on defaulted comparisons
    [[nodiscard]] bool empty() const
    {
        return text.empty();
    }
};

using CustomerName = Name<struct CustomerTag>; ///< Name of a customer, determined by the bearer token.
using ClassName = Name<struct ClassTag>;       ///< A class of work with a target.
using ServerName = Name<struct ServerTag>;     ///< A backend server, and the gate in front of it.
using EntryName = Name<struct EntryTag>;       ///< One entry VM.
using ServiceName = Name<struct ServiceTag>;   ///< A plain service.
using ModelName = Name<struct ModelTag>;       ///< A model served by engines.
using ZoneName = Name<struct ZoneTag>;         ///< An availability zone.
using RegionName = Name<struct RegionTag>;     ///< A region of several zones.
using RowKey = Name<struct RowKeyTag>;         ///< Key of a row in the table service.
using ObjectKey = Name<struct ObjectKeyTag>;   ///< Key of an object in the object store.

using ShardId = Number<struct ShardTag>;                  ///< A group of programs that share one lease.
using Epoch = Number<struct EpochTag>;                    ///< Fencing number of a shard; increases with every takeover.
using Turn = Number<struct TurnTag, std::uint32_t>;       ///< Position of a call in its program; the first is 1.
using Attempt = Number<struct AttemptTag, std::uint32_t>; ///< Number of times that a turn was ordered; the first is 1.
using Incarnation = Number<struct IncarnationTag>;        ///< One run of a process; differs after every restart.
using RowVersion = Number<struct RowVersionTag>;          ///< Version of a row; 0 means the row does not exist.
using ConfigVersion = Number<struct ConfigVersionTag>;    ///< Version of the configuration of classes and servers.
using RequestId = Number<struct RequestTag>;              ///< One request of a caller within one entry process.
using StoreRequestId = Number<struct StoreRequestTag>;    ///< One request to the platform's store within one process.
using SegmentNumber = Number<struct SegmentTag>;          ///< Position of a segment in a shard's journal; the first is 1.
using RecordNumber = Number<struct RecordTag>;            ///< Position of a record in a shard's journal; the first is 1.

/** Identifies a program in the whole deployment. The holder of the shard is the holder of the program. */
struct ProgramId
{
    ShardId shard;          ///< The shard that the program was created in.
    std::uint64_t serial{}; ///< Number of the program, unique within the shard.

    auto operator<=>(const ProgramId &) const = default; // NOLINT(modernize-use-nullptr): a false positive on defaulted comparisons
};

/** Identifies one call of a program. */
struct CallKey
{
    ProgramId program; ///< The program that the call belongs to.
    Turn turn;         ///< Position of the call in the program.

    auto operator<=>(const CallKey &) const = default; // NOLINT(modernize-use-nullptr): a false positive on defaulted comparisons
};

/** Fingerprint of a request's content; equal content has equal fingerprints. */
struct ContentHash
{
    std::uint64_t high{}; ///< Upper half.
    std::uint64_t low{};  ///< Lower half.

    auto operator<=>(const ContentHash &) const = default; // NOLINT(modernize-use-nullptr): a false positive on defaulted comparisons
};

} // namespace Vanillahall

template<typename Tag, typename Rep>
struct std::hash<Vanillahall::Number<Tag, Rep>>
{
    std::size_t operator()(const Vanillahall::Number<Tag, Rep> &n) const noexcept
    {
        return std::hash<Rep>()(n.value);
    }
};

template<typename Tag>
struct std::hash<Vanillahall::Name<Tag>>
{
    std::size_t operator()(const Vanillahall::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.text);
    }
};

template<>
struct std::hash<Vanillahall::ProgramId>
{
    std::size_t operator()(const Vanillahall::ProgramId &id) const noexcept
    {
        constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15ULL;
        return static_cast<std::size_t>(id.shard.value * Multiplier ^ id.serial);
    }
};

template<>
struct std::hash<Vanillahall::CallKey>
{
    std::size_t operator()(const Vanillahall::CallKey &key) const noexcept
    {
        constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15ULL;
        return std::hash<Vanillahall::ProgramId>()(key.program) * Multiplier + key.turn.value;
    }
};

template<>
struct std::hash<Vanillahall::ContentHash>
{
    std::size_t operator()(const Vanillahall::ContentHash &hash) const noexcept
    {
        return static_cast<std::size_t>(hash.low);
    }
};
