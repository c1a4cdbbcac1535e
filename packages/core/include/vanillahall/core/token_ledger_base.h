/**
 * Token budgets of programs, enforced across all entries.
 * Load pattern: the turns of one program run at several entries at once, and programs in an endless loop keep requesting more tokens. A row
 * per program in the platform's store holds the number of tokens reserved by all entries; an entry grants tokens only from its own
 * reservations, so that the sum never exceeds the budget by more than one turn, whatever fails. An entry gives back what it holds if
 * it stops, or if another one asks for it because no tokens are left. The row also names the software versions at which streams of the
 * program may have begun, so that any entry knows where a stream may go on, also after the loss of all others.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Vanillahall::Forward {

/** Request for the tokens of a turn. */
struct TokenRequest
{
    std::string program;       ///< Program.
    std::uint64_t budget{};    ///< Token budget of the program, for all its turns together.
    std::uint64_t maxTokens{}; ///< Maximum number of tokens that this turn generates.
    bool shouldReadFirst
        = false; ///< True to read an unknown row before writing it, because it probably exists or the store is short of writes.
    std::optional<SoftwareVersion> streamVersion = {}; ///< Version at which the turn's stream is to begin; the row has to name it first.
    TimePoint confirmedSince = {}; ///< A read or write of the row has to have started at this time or later and succeeded.
    TimePoint arrivedAt = {};      ///< When the request for the turn arrived.
};

/** Row of a program in the store. */
struct TokenRow
{
    std::uint64_t reserved{}; ///< Tokens reserved by all entries so far.
    std::string writer;       ///< Unique name of the write that made this row.
    std::uint64_t version{};  ///< Version of the row; 0 if there is none.
    std::string homeZone;     ///< Availability zone where the program started; empty if unknown.
    /** Versions at which streams of the program may have begun. An unknown one stands for those that the row doesn't name. */
    std::vector<SoftwareVersion> streamVersions = {};
    std::uint64_t returned{}; ///< Tokens that entries have given back so far, of those in `reserved`. Neither number ever decreases.
    std::vector<std::string> holders = {}; ///< Names of entries, other than that of `writer`, that may hold tokens.
    /** Tokens granted from the second share, once that is closed; see OutageShare. */
    std::optional<std::uint64_t> outageTokens = {};
    /** Marks of the last writes of entries other than that of `writer`, by entry: they show whether a write without a reply was executed.
     */
    std::map<std::string, std::string> marks = {};
    /** Each of their writes at a later version than this one has a mark; nothing if the row was written by an older release. */
    std::optional<std::uint64_t> markedSince = 0;

    /** @return Tokens that entries hold or have granted. */
    [[nodiscard]] std::uint64_t outstanding() const;
};

/** Versions that a row names at most; a program seldom outlives one release of its servers. */
inline constexpr std::size_t MaxStreamVersions = 8;

/** @return True if a write was made by a release that marks the writes of other entries. @param writer Name of the write. */
[[nodiscard]] bool isMarkingWriter(const std::string &writer);

/** Conditional write of a program's row. */
struct TokenWrite
{
    std::string program; ///< Program.
    TokenRow row;        ///< New row; its version is the one that the store must have.
};

/** The turn may begin; its tokens are reserved. */
struct TokenGranted
{
};
/** The remaining budget is too small for the turn. */
struct TokenBudgetExhausted
{
    std::uint64_t reserved{}; ///< Tokens reserved by all entries and not given back.
};
/** It isn't known whether the remaining budget is too small: the row couldn't be read, or other entries may be giving tokens back. */
struct TokenBudgetUnknown
{
    Duration retryAfter{}; ///< After this time it is known, if the store answers.
};
/** Other entries must be asked to give back the tokens that they hold; call reserve() again after onReturnsRequested(). */
struct TokenNeedsReturns
{
    std::vector<std::string> holders; ///< Names of the entries.
};
/** The row must be written first; call reserve() again when the write has ended. */
struct TokenNeedsWrite
{
    TokenWrite write; ///< Write to do.
};
/** The row must be read first; call reserve() again when the read has ended. */
struct TokenNeedsRead
{
};
/** The second share of the budget must be closed by its owner first; call reserve() again after onShareClosed(). */
struct TokenNeedsClosing
{
};
/** A read or write of the row is under way; call reserve() again when it has ended. */
struct TokenBusy
{
};
using TokenAnswer = std::variant<TokenGranted,
                                 TokenBudgetExhausted,
                                 TokenBudgetUnknown,
                                 TokenNeedsReturns,
                                 TokenNeedsWrite,
                                 TokenNeedsRead,
                                 TokenNeedsClosing,
                                 TokenBusy>; ///< Result of TokenLedger::reserve().

/** What this entry knows about the tokens of one program. */
struct TokenView
{
    TokenRow row;                        ///< Known row; version 0 if it wasn't read or written.
    std::uint64_t available = 0;         ///< Tokens reserved by this entry and not granted to a turn.
    bool isWriting = false;              ///< True while the row is read or written.
    std::optional<Duration> rowAge = {}; ///< Time since the start of the last call that has shown the row; nothing if none has.
};

/** Token reservations of this entry, by program. */
class TokenLedger
{
public:
    /**
     * @param writer Name of this process and of its incarnation; identifies its writes.
     * @param zone Availability zone of this entry, recorded as the home of programs that start here.
     * @param secondSharePercent Part of each budget that isn't reserved in the row until it is closed; see OutageShare.
     */
    explicit TokenLedger(std::string writer, std::string zone = {}, std::uint32_t secondSharePercent = 0);

    // Commands.

    /** Reserves the tokens of a turn. */
    TokenAnswer reserve(const TokenRequest &request, TimePoint now);
    /**
     * Handles the end of the read that reserve() requested. @param row The row; version 0 if there is none; nothing if the store didn't
     * answer.
     */
    void onRowRead(const std::string &program, const std::optional<TokenRow> &row, TimePoint now);
    /** Merges a program's row as another entry knew it. A row older than the known one is ignored. */
    void mergeRow(const std::string &program, const TokenRow &row, TimePoint now);
    /** Handles the success of the open write. @param version New version of the row. */
    void onWritten(const std::string &program, std::uint64_t version);
    /** Handles the open write being refused because its condition didn't hold. @param row Current row; version 0 if there is none. */
    void onConflict(const std::string &program, const TokenRow &row);
    /** Handles the open write failing or having an unknown outcome. The next reserve() repeats the same write. */
    void onWriteFailed(const std::string &program);
    /**
     * Settles a granted turn that has ended.
     * @param maxTokens Tokens that were granted.
     * @param used Tokens generated; the rest is available for later turns of the program, at this entry until it is given back.
     */
    void settle(const std::string &program, std::uint64_t maxTokens, std::uint64_t used, TimePoint now);
    /**
     * Starts to give back the tokens of programs that have no turn in progress here, because this entry is stopping.
     * @return Writes to do, each with a single attempt: a refusal then shows that it wasn't executed, also without marks in the row. Those
     * of which the outcome is unknown are repeated first.
     */
    std::vector<TokenWrite> beginReturns(TimePoint now);
    /** Starts to give back the tokens held for a program, like beginReturns(). @return Write to do; nothing if none is possible now. */
    std::optional<TokenWrite> beginReturn(const std::string &program, TimePoint now);
    /**
     * Handles the replies of the entries that reserve() named in TokenNeedsReturns.
     * @param haveAllReplied True if none of them holds tokens any more.
     * @param hasReturned True if one of them has given tokens back.
     */
    void onReturnsRequested(const std::string &program, bool haveAllReplied, bool hasReturned);
    /**
     * Handles the reply of the owner that TokenNeedsClosing asks for.
     * @param tokens Tokens granted from the second share, of which no more are granted; nothing if they aren't known.
     */
    void onShareClosed(const std::string &program, std::optional<std::uint64_t> tokens, TimePoint now);
    /** Records that a second share was closed before it was needed; the next write of the row names it. @param tokens As above. */
    void recordClosedShare(const std::string &program, std::uint64_t tokens, TimePoint now);
    /** Removes programs that were last used before a time. @return Rows last written by this entry that may be removed from the store. */
    std::vector<TokenWrite> removeIdle(TimePoint since);

    // Queries.

    /** @return The answer that reserve() would give now; nothing is changed. */
    [[nodiscard]] TokenAnswer preview(const TokenRequest &request, TimePoint now) const;
    /** @return What is known about a program. */
    [[nodiscard]] TokenView view(const std::string &program, TimePoint now) const;
    /** @return Number of known programs. */
    [[nodiscard]] std::size_t size() const;
    /** @return True if this entry holds tokens that haven't been given back. */
    [[nodiscard]] bool holdsTokens() const;
    /** @return True if this entry holds tokens of a program that haven't been given back. */
    [[nodiscard]] bool holdsTokens(const std::string &program) const;
    /** @return True if the row of a program is known and its second share isn't closed as far as known. */
    [[nodiscard]] bool hasOpenShare(const std::string &program, TimePoint now) const;
    /** @return Known row of a program; version 0 if unknown. */
    [[nodiscard]] TokenRow row(const std::string &program) const;
    /** @return Row of a program as of a time or later; nothing if it wasn't read or written since. */
    [[nodiscard]] std::optional<TokenRow> confirmedRow(const std::string &program, TimePoint since) const;
    /** @return Availability zone where a program started, from its row; empty if unknown. */
    [[nodiscard]] std::string homeZone(const std::string &program) const;

private:
    /** State of one program. */
    struct Account
    {
        TokenRow row;                              ///< Last known row.
        std::uint64_t available{};                 ///< Tokens reserved by this entry and not granted to a turn.
        std::uint64_t pendingTokens{};             ///< Tokens that the open or unconfirmed write reserves; 0 if there is none.
        std::uint64_t pendingReturn{};             ///< Tokens that the open or unconfirmed write gives back; 0 if there is none.
        std::uint64_t ownTokens{};                 ///< Tokens reserved and not given back by this entry, as far as the row shows.
        std::uint32_t openTurns{};                 ///< Turns granted and not settled.
        std::optional<TokenWrite> openWrite;       ///< Write that is under way or whose outcome is unknown.
        std::uint64_t waitingTokens{};             ///< Tokens requested by turns while a write was under way.
        TimePoint writeRequestedAt{};              ///< When the last read or write was requested.
        TimePoint writtenAt{};                     ///< When the row was last written by this entry.
        TimePoint confirmedAt{};                   ///< When the last call that has shown the row's content was requested.
        bool hasReadFailed = false;                ///< True if the last read of the row failed.
        bool isWriting = false;                    ///< True while the open write, or a read of the row, is under way.
        bool wasRead = false;                      ///< True once a read of the row was requested.
        TimePoint askedAt{};                       ///< When other entries were last asked to give tokens back.
        bool haveAllReplied = false;               ///< True if all of them have replied.
        bool isReturnUncertain = false;            ///< True if the write that gives tokens back may have been executed without a reply.
        TimePoint lastUse{};                       ///< Time of the last request or end of a turn.
        TimePoint changedAt{};                     ///< When a version of the row that another entry wrote became known.
        std::optional<std::uint64_t> closedTokens; ///< Tokens granted from the second share, as its owner said when it closed it.
        TimePoint closedAt{};                      ///< When it said so.
    };

    /** How much of a budget may be reserved in the row. */
    struct Limit
    {
        std::uint64_t tokens{};                    ///< Tokens that may be reserved.
        std::uint64_t beyond{};                    ///< Tokens beyond them that may be reserved for one turn.
        bool needsClosing = false;                 ///< True if the second share has to be closed before more is reserved.
        std::optional<std::uint64_t> outageTokens; ///< Tokens granted from the second share, if it is closed.
    };

    /** @return Limit of the row of a program. */
    [[nodiscard]] Limit limit(const Account &account, const TokenRequest &request, TimePoint now) const;

    /** @return Name for the next write of this entry. */
    std::string nextWriter();
    /** Starts a read of the row. */
    static TokenAnswer beginRead(Account &account, TimePoint now);
    /** What a later version of the row shows about a write without a reply. */
    enum class WriteOutcome {
        Executed,
        NotExecuted,
        Unknown,
    };

    /** @return Outcome of the open write. @param row Row whose version differs from the one that the write expects. */
    [[nodiscard]] WriteOutcome findOutcome(const TokenWrite &write, const TokenRow &row) const;
    /** Ends the open write, whose condition doesn't hold any more. */
    void resolveWrite(Account &account, const TokenRow &row);
    /** Accounts for the tokens of the open write, which was executed, and ends it. */
    static void applyWrite(Account &account);
    /** Sets the marks of a row that replaces another one. */
    void setMarks(TokenRow &row, const TokenRow &replaced) const;
    /** Replaces the known row by a newer version of it. */
    static void updateRow(Account &account, TokenRow row, TimePoint now);
    /** @return Names of other entries that may hold tokens. */
    [[nodiscard]] std::vector<std::string> otherHolders(const TokenRow &row) const;
    /** Makes the write that gives back all tokens that are available, or the one that was made before and whose outcome is unknown. */
    TokenWrite makeReturn(const std::string &program, Account &account, TimePoint now);
    /** @return True if tokens are held, or the open write may have reserved some. */
    static bool holdsTokens(const Account &account);
    /** @return True if tokens may be given back by a write now, or a write be repeated. */
    static bool canReturn(const Account &account);
    /** @return Answer to a request for which the row has no tokens left. */
    TokenAnswer refuse(Account &account, const TokenRequest &request, TimePoint now);
    /** @return True if other entries hold or have granted tokens of the program, as far as the row shows. */
    static bool isShared(const Account &account);
    /** @return True if the tokens of an account are to be given back now. */
    static bool isReturnDue(const Account &account, TimePoint now);

    std::string m_writer;
    std::string m_zone;
    std::uint32_t m_secondSharePercent;
    std::uint64_t m_writes = 0;
    std::unordered_map<std::string, Account> m_accounts;
};

/**
 * Number of turns reserved by one write while less than half of the budget is reserved; saves most writes of an ordinary program. If the
 * entry is killed, the turn reserved ahead is lost; the turn allowed beyond the budget makes up for it.
 */
inline constexpr std::uint64_t TurnsReservedAhead = 2;

/** Entries that a row names at most as holders of tokens. */
inline constexpr std::size_t MaxTokenHolders = 8;
/** The owner's word that a second share is closed is used for this long; an owner that follows it grants no sooner than 155 s after it. */
inline constexpr Duration ShareClosingLifetime = std::chrono::seconds(30);
/** Interval between attempts to give back the same tokens. */
inline constexpr Duration TokenReturnInterval = std::chrono::milliseconds(500);
/** Limit on writes that start in one call of TokenLedger::beginReturns(). */
inline constexpr std::size_t MaxTokenReturns = 50;
/** A budget is exhausted for certain if the row doesn't change for this long: by then, other entries have given back what they hold. */
inline constexpr Duration TokenSettleTime = std::chrono::seconds(1);

/** A row that wasn't written for this long is removed: its program has ended, since clients retry for a minute after the last turn. */
inline constexpr Duration TokenRowLifetime = std::chrono::seconds(150);
/** An entry that wrote a row longer ago than this rewrites it before it grants further tokens, so that a row in use is never removed. */
inline constexpr Duration TokenRowRefreshAge = std::chrono::seconds(90);

} // namespace Vanillahall::Forward
