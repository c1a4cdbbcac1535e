/**
 * Decides whether a program may go on or begin while the servers of its service are saturated.
 * Load pattern: bursts of 2.4 times the usual load at full engines; one customer at 7.5 times its usual load; programs that loop endlessly.
 * A program has value only as a whole, so that work for one that ends too late takes the place of work that counts.
 */
#pragma once

#include "vanillahall/core/admission/decaying_count_type.h"
#include "vanillahall/core/admission/saturation_monitor_base.h"

#include <array>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace Vanillahall::Forward {

/** Customer of a request, as far as the decisions about overload need it. */
struct CustomerShareKey
{
    std::uint64_t id = 0;   ///< Hash of the name; 0 for none.
    std::uint32_t rank = 0; ///< Urgency; 0 is the most urgent.
};

/** Request to decide about. */
struct ProgramRequest
{
    std::uint64_t program = 0;               ///< Hash of owner and program; 0 if it has none.
    CustomerShareKey customer;               ///< Customer.
    std::string service;                     ///< Service.
    std::string route;                       ///< Route.
    bool isTurn = false;                     ///< True for a request to a model engine.
    bool mayBeNew = false;                   ///< False if anything shows that the program is in progress.
    Duration timeLeft{};                     ///< Time until the client gives up.
    std::optional<Duration> programTimeLeft; ///< Time until the program's deadline.
};

/** Why a request may go on. */
enum class AdmissionBasis : std::uint8_t {
    InProgress,   ///< Its program is in progress, or may be.
    NotSaturated, ///< The servers can take more work.
    Room,         ///< There is room for a new program.
    Returned,     ///< It was refused before.
    LastChance,   ///< Its client has too little time left to return.
};

/** The request may go on. */
struct ProgramAdmitted
{
    AdmissionBasis basis = AdmissionBasis::InProgress; ///< Reason.
};

/** Why a program is refused. */
enum class AdmissionRefusal : std::uint8_t {
    Full,          ///< The admitted programs fill the servers.
    CustomerShare, ///< Its customer has had its share of the room.
    ChanceGone,    ///< It can't end within twice its time.
    Looping,       ///< It makes far more requests than others, and there is no room.
};

/** The request is refused. */
struct ProgramRefused
{
    AdmissionRefusal reason = AdmissionRefusal::Full; ///< Reason.
    Duration untilRoom{};                             ///< Expected time until there is room.
    Duration retryAfter{};                            ///< Retry delay.
    bool isRepeated = false;                          ///< True if the program was refused before.
};

using AdmissionDecision = std::variant<ProgramAdmitted, ProgramRefused>; ///< Result of ProgramAdmission::decide().

/** @return Name of a reason in logs and metrics. */
[[nodiscard]] std::string_view admissionName(AdmissionBasis basis);
/** @return Name of a reason in logs and metrics. */
[[nodiscard]] std::string_view admissionName(AdmissionRefusal reason);

/** Remembers programs and decides about their requests. */
class ProgramAdmission
{
public:
    // Commands.

    /** Decides about a request and records the decision. @param saturation State of its service. */
    AdmissionDecision decide(const ProgramRequest &request, const SaturationView &saturation, TimePoint now);

    /** Takes back that a turn went on, since no server ran it: clients repeat it, which is no loop. */
    void withdrawTurn(std::uint64_t program);

    // Queries.

    /** @return The answer that decide() would give now; nothing is recorded. */
    [[nodiscard]] AdmissionDecision preview(const ProgramRequest &request, const SaturationView &saturation, TimePoint now) const;
    /** @return True if a program has made far more turns than others of its route. */
    [[nodiscard]] bool isLooping(std::uint64_t program, const std::string &route) const;
    /** @return Turns that a program is expected to need, the current one included; at least 1. */
    [[nodiscard]] double expectedTurnsLeft(std::uint64_t program, const std::string &route, TimePoint now) const;
    /** @return True if it is known that twice the time of a program has passed. */
    [[nodiscard]] bool isWorthless(std::uint64_t program, TimePoint now) const;
    /** @return Number of remembered programs. */
    [[nodiscard]] std::size_t size() const;

private:
    /** What is remembered of a program. */
    struct Program
    {
        std::optional<TimePoint> seenAt;         ///< Last request that went on; nothing if all were refused.
        std::optional<TimePoint> refusedAt;      ///< Last refusal.
        std::optional<TimePoint> latest;         ///< End of twice its time; nothing if unknown.
        Duration time{};                         ///< Its time, from the first request seen here; 0 if unknown.
        std::uint32_t turns = 0;                 ///< Turns that went on.
        std::list<std::uint64_t>::iterator used; ///< Position in the order of use.
    };
    /** Number of turns of the programs of a route. */
    struct TurnCount
    {
        DecayingCount turns;
        DecayingCount programs;

        /** @return Turns per program. */
        [[nodiscard]] double perProgram(TimePoint now) const;
    };
    /** Share of the room that a customer or all customers of a rank have had. */
    struct Share
    {
        DecayingCount admitted; ///< New programs that were admitted.
        DecayingCount demand;   ///< New programs over a long time.

        /** @return Recent admissions relative to the usual demand. */
        [[nodiscard]] double level(TimePoint now) const;
    };
    static constexpr std::size_t MaxRanks = 4; ///< Ranks that are told apart; higher ones count as the last.

    /** Room for new programs at the servers of one service. */
    struct Pool
    {
        Pool();

        double room = 0;         ///< Turns of new programs that may begin now; negative after the admission of long or returning ones.
        double rate = 0;         ///< Turns per second that the servers can take.
        TimePoint at{};          ///< When `room` was last updated.
        DecayingCount returning; ///< Turns of programs that were refused and are expected to return.
        std::unordered_map<std::uint64_t, Share> customers;
        std::array<Share, MaxRanks> ranks;
    };

    /** @return Time that a new program has beyond what it needs at idle servers. */
    [[nodiscard]] static Duration slack(const ProgramRequest &request, const Program &state);
    Program &program(std::uint64_t id);
    /** @return Turns that a new program of the route needs. */
    double programCost(const ProgramRequest &request, TimePoint now);
    TurnCount &routeCount(const std::string &route);
    Pool &refill(const ProgramRequest &request, const SaturationView &saturation, TimePoint now);
    static Share &customerShare(Pool &pool, std::uint64_t customer, TimePoint now);
    /** @return True if a customer, and all of its rank, have had less than their share of the room. */
    [[nodiscard]] static bool hasShare(Pool &pool, const CustomerShareKey &customer, double allowance, TimePoint now);
    AdmissionDecision decideNew(const ProgramRequest &request, const SaturationView &saturation, Program &state, TimePoint now);
    AdmissionDecision admitNew(const ProgramRequest &request, Program &state, AdmissionBasis basis, TimePoint now);
    AdmissionDecision refuse(const ProgramRequest &request, Program &state, AdmissionRefusal reason, TimePoint now);
    void recordTurn(const ProgramRequest &request, Program &state, TimePoint now);

    std::unordered_map<std::uint64_t, Program> m_programs;
    std::list<std::uint64_t> m_programsByUse;            ///< Hashes of programs, least recently used first.
    std::unordered_map<std::string, TurnCount> m_routes; ///< Bounded by the routes of the configuration.
    std::unordered_map<std::string, Pool> m_pools;       ///< Bounded by the services of the configuration.
};

/** A program that wasn't seen for this time isn't known to be in progress any more. */
inline constexpr Duration ProgramMemory = std::chrono::seconds(30);
/** Maximum number of remembered programs: 100 new ones per second for ProgramMemory, and as many refused ones. */
inline constexpr std::size_t MaxAdmissionPrograms = 6000;
/** Maximum number of customers with a share per service; more than the design size. */
inline constexpr std::size_t MaxShareCustomers = 2000;
/** A program loops if it makes more turns than this and more than LoopFactor times those of others of its route. */
inline constexpr std::uint32_t MinLoopTurns = 40;
/** See MinLoopTurns. Programs of one kind differ by less than this. */
inline constexpr double LoopFactor = 8;

} // namespace Vanillahall::Forward
