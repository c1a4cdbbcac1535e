/**
 * The part of each program's token budget that its owner may grant while the platform's store is away.
 * Load pattern: dozens of programs begin each second while the store doesn't answer for seconds, and their turns arrive at many proxies.
 * The owner decides alone, from its memory; see BudgetOwners for how there is never more than one.
 */
#pragma once

#include "vanillahall/core/forward_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Vanillahall::Forward {

/** Request for tokens while the store is away. */
struct OutageGrantRequest
{
    std::string program;                               ///< Key of the program, with the prefix of its customer.
    std::string turn;                                  ///< Unique name of this attempt of a turn; a repeated request gets the same reply.
    std::uint64_t budget{};                            ///< Token budget of the program.
    std::uint64_t maxTokens{};                         ///< Maximum number of tokens that the turn generates.
    Duration timeLeft{};                               ///< Time after which the turn has ended for certain.
    std::optional<SoftwareVersion> streamVersion = {}; ///< Version at which the turn's stream begins, if it can be resumed.
};

/** Report of a turn that has ended, or whose grant isn't used. */
struct OutageReport
{
    std::string program;  ///< Key of the program.
    std::string turn;     ///< Name of the turn.
    std::uint64_t used{}; ///< Tokens delivered.
};

/** A turn with granted tokens, as other proxies are told about it. */
struct OutageTurnRecord
{
    std::string program;                               ///< Key of the program.
    std::string turn;                                  ///< Name of the turn.
    std::uint64_t tokens{};                            ///< Tokens granted; those delivered once it is reported.
    Duration timeLeft{};                               ///< Time after which the turn has ended, also without a report.
    bool isReported = false;                           ///< True if the turn has ended.
    std::optional<SoftwareVersion> streamVersion = {}; ///< Version at which the turn's stream began, if it can be resumed.
};

/** Grants of a partition as far as its owner has recorded them in its row. */
struct OutageLedger
{
    bool isComplete = false;     ///< True if no other grant was in use when it was recorded, of this owner or a former one.
    bool hasWitnesses = false;   ///< True if every grant since then is known to another proxy than the owner.
    std::uint64_t seenVersion{}; ///< Version of the owner's row that this record replaces; the owner wrote it before.
    std::vector<OutageTurnRecord> turns = {};
};

/** The tokens are granted. */
struct OutageGranted
{
};
/** The second share doesn't hold the tokens, or is closed or may have been used before: the row alone decides. */
struct OutageShareSpent
{
};
/** This proxy isn't the owner, its lease has ended, or its table is full. */
struct OutageNotOwner
{
};
using OutageAnswer = std::variant<OutageGranted, OutageShareSpent, OutageNotOwner>; ///< Result of a request for tokens.

/** The second share is closed for good. */
struct OutageClosed
{
    std::uint64_t tokens{}; ///< Tokens granted from it; unused ones of turns whose end wasn't reported are included.
};
/** It isn't known yet how many tokens are granted from the second share: turns are in progress, or a former owner may have granted some. */
struct OutageUnsettled
{
};
using OutageCloseAnswer = std::variant<OutageClosed, OutageUnsettled, OutageNotOwner>; ///< Result of a request to close a share.

/** What a proxy may do for the programs of a partition. */
enum class OwnerRight : std::uint8_t {
    None,        ///< It isn't the owner, or its lease has ended.
    Quarantined, ///< It is the owner, but a former owner may have granted tokens to programs in progress.
    Settled,     ///< It knows all grants, but not which shares a former owner has closed: it closes shares and grants nothing.
    Full,        ///< It knows all grants and closings of the partition.
};

/** Programs with grants that an owner remembers at most; about 6 MB. */
inline constexpr std::size_t MaxOutagePrograms = 20000;
/** Turns of one program that an owner remembers at most. */
inline constexpr std::size_t MaxOutageTurns = 64;
/** A program without a request for this long is forgotten; far longer than programs last, as a forgotten one could be granted its share
 * again. */
inline constexpr Duration OutageProgramLifetime = std::chrono::hours(1);
/** If the table is full, programs without a request for this long are forgotten: they have ended. */
inline constexpr Duration OutageProgramMinLifetime = std::chrono::seconds(150);
/** Turns of one partition that its owner's row names at most; with the longest names they have 14 KB. */
inline constexpr std::size_t MaxLedgerTurns = 48;
/** The report of a turn may arrive this long after the turn has ended. */
inline constexpr Duration OutageReportGrace = std::chrono::seconds(2);

/** @return Tokens of a budget that belong to the second share; the first share is the rest. */
[[nodiscard]] std::uint64_t secondShare(std::uint64_t budget, std::uint32_t percent);

/** Grants of this proxy from the second shares of the programs that it owns. */
class OutageShare
{
public:
    /** @param percent Size of the second share, in percent of the budget. */
    explicit OutageShare(std::uint32_t percent);

    // Commands.

    /** Decides about the tokens of a turn. @param right Right of this proxy for the partition of the program, now. */
    OutageAnswer grant(const OutageGrantRequest &request, OwnerRight right, TimePoint now);
    /** Handles the end of a turn, or that its grant isn't used. Repeated reports, and reports before the request, change nothing else. */
    void report(const OutageReport &report, TimePoint now);
    /** Ends the grants to a program. */
    OutageCloseAnswer close(const std::string &program, OwnerRight right, TimePoint now);
    /** Adds grants that another proxy has recorded. @return False if there is no room for all. */
    bool adopt(const std::vector<OutageTurnRecord> &turns, TimePoint now);
    /** Forgets programs that have ended. */
    void removeIdle(TimePoint now);

    // Queries.

    /**
     * @return Versions at which streams of the program began with granted tokens; nothing if they aren't known for certain.
     * @param right Right of this proxy for the partition of the program, now.
     */
    [[nodiscard]] std::optional<std::vector<SoftwareVersion>> streamVersions(const std::string &program, OwnerRight right) const;
    /** @return Turns of a partition's programs that may be in progress; nothing if there are more than MaxLedgerTurns. */
    [[nodiscard]] std::optional<std::vector<OutageTurnRecord>> turns(std::uint32_t partition, TimePoint now) const;
    /** @return Number of remembered programs. */
    [[nodiscard]] std::size_t size() const;

private:
    /** One turn. */
    struct Turn
    {
        std::uint64_t tokens{}; ///< Tokens granted; those delivered once it is reported.
        TimePoint endsBy{};     ///< The turn has ended at this time, also without a report.
        bool isGranted = false; ///< False if it was reported before it was requested.
        bool isReported = false;
        std::optional<SoftwareVersion> streamVersion = {}; ///< Version at which its stream began, if it can be resumed.
    };
    /** One program. */
    struct Program
    {
        std::uint64_t budget = UINT64_MAX;           ///< Smallest budget seen.
        std::unordered_map<std::string, Turn> turns; ///< Turns by name.
        std::vector<SoftwareVersion> versions;       ///< Versions at which streams began.
        bool isClosed = false;                       ///< True once nothing more is granted.
        TimePoint lastUse{};                         ///< Last request or report.
    };

    /** @return Program, added if there is room; else null. */
    Program *findOrAdd(const std::string &program, TimePoint now);
    static std::uint64_t tokens(const Program &program);
    static void addVersion(Program &program, const std::optional<SoftwareVersion> &version);

    std::uint32_t m_percent;
    std::unordered_map<std::string, Program> m_programs;
    std::set<std::string> m_withTurns; ///< Keys of the programs that have turns; most have only a closed share.
};

} // namespace Vanillahall::Forward
