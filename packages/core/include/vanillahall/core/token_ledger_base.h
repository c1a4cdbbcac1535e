/**
 * Tokens that programs may generate, over all entries.
 * Load pattern: the turns of one program run at several entries at once, and programs that loop without end press for more. A row per
 * program in the platform's store holds how many tokens all entries together have reserved; an entry hands out tokens only from what it
 * has reserved, so that the sum never exceeds the budget by more than one turn, whatever fails.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Vanillahall::Forward {

/** A turn that wants to begin. */
struct TokenRequest
{
    std::string program;     ///< Program.
    std::uint64_t budget{};  ///< Tokens that all turns of the program may generate.
    std::uint64_t most{};    ///< Most tokens that this turn generates.
    bool readsFirst = false; ///< True to read an unknown row before it is written: it probably exists, or the store is short of writes.
};

/** The row of a program in the store. */
struct TokenRow
{
    std::uint64_t reserved{}; ///< Tokens that all entries have reserved so far.
    std::string writer;       ///< Name of the write that made this row.
    std::uint64_t version{};  ///< Version of the row; 0 if there is none.
    std::string homeZone;     ///< Availability zone where the program began; empty if it isn't known.
};

/** A conditional write of a program's row. */
struct TokenWrite
{
    std::string program; ///< Program.
    TokenRow row;        ///< The new row; its version is the one that is expected.
};

/** The turn may begin; its tokens are reserved. */
struct TokenGranted
{
};
/** The budget doesn't hold the turn. */
struct TokenBudgetExhausted
{
    std::uint64_t reserved{}; ///< Tokens reserved by all entries.
};
/** The row must be written first; ask again when the write has ended. */
struct TokenNeedsWrite
{
    TokenWrite write; ///< The write.
};
/** The row must be read first; ask again when the read has ended. */
struct TokenNeedsRead
{
};
/** A read or write of the row is under way; ask again when it has ended. */
struct TokenBusy
{
};
using TokenAnswer
    = std::variant<TokenGranted, TokenBudgetExhausted, TokenNeedsWrite, TokenNeedsRead, TokenBusy>; ///< Answer to a turn that asks.

/** What this entry knows of the budgets of programs. */
class TokenLedger
{
public:
    /**
     * @param writer Name of this process and of its incarnation; marks its writes.
     * @param zone Availability zone of this entry, the home of programs that begin here.
     */
    explicit TokenLedger(std::string writer, std::string zone = {});

    // Commands.

    /** A turn asks for its tokens. */
    TokenAnswer ask(const TokenRequest &request, TimePoint now);
    /** The read that ask() wanted has ended. @param row The row; version 0 if there is none; nothing if the store didn't answer. */
    void rowRead(const std::string &program, const std::optional<TokenRow> &row, TimePoint now);
    /** Takes a program's row as another entry knew it. An older one than is known here changes nothing. */
    void learn(const std::string &program, const TokenRow &row, TimePoint now);
    /** The open write was done. @param version Version of the row now. */
    void written(const std::string &program, std::uint64_t version);
    /** The condition of the open write didn't hold. @param row The row as it is; version 0 if there is none. */
    void changed(const std::string &program, const TokenRow &row);
    /** The open write was refused and nothing was done, or its outcome is unknown. The same write is made again at the next ask. */
    void notWritten(const std::string &program);
    /** A granted turn has ended. @param used Tokens handed out; the rest is kept for later turns of the program here. */
    void settle(const std::string &program, std::uint64_t most, std::uint64_t used);
    /** Forgets programs that were not used since a moment. @return Rows that this entry wrote last and that may be removed. */
    std::vector<TokenWrite> forget(TimePoint since);

    // Queries.

    /** @return Number of programs known. */
    [[nodiscard]] std::size_t size() const;
    /** @return A program's row as far as known; version 0 if it isn't. */
    [[nodiscard]] TokenRow row(const std::string &program) const;
    /** @return Availability zone where a program began, by its row; empty if it isn't known. */
    [[nodiscard]] std::string homeZone(const std::string &program) const;

private:
    /** One program. */
    struct Account
    {
        TokenRow row;                        ///< As far as known.
        std::uint64_t here{};                ///< Tokens reserved by this entry and not in use.
        std::uint64_t asked{};               ///< Tokens that the open or unfinished write reserves; 0 if there is none.
        std::optional<TokenWrite> openWrite; ///< Write under way, or of unknown outcome.
        std::uint64_t waiting{};             ///< Tokens that turns asked for while a write was under way.
        TimePoint writeBegan{};              ///< When the open write was asked for.
        TimePoint written{};                 ///< When the row was last written from here.
        bool isWriting = false;              ///< True if the open write, or a read of the row, is under way.
        bool wasRead = false;                ///< True once a read of the row was asked for.
        TimePoint lastUse{};                 ///< Last ask.
    };

    std::string m_writer;
    std::string m_zone;
    std::uint64_t m_writes = 0;
    std::unordered_map<std::string, Account> m_accounts;
};

/** Turns that one write reserves ahead while less than half of the budget is reserved; saves most writes of an ordinary program. */
inline constexpr std::uint64_t TurnsAhead = 3;

/** Rows that nobody wrote for so long are removed, as their programs have ended: they come back for a minute after their last turn. */
inline constexpr Duration TokenRowLife = std::chrono::seconds(150);
/** Tokens held for longer than this are handed out only after the row was written again, so that a row in use is never removed. */
inline constexpr Duration TokenRowRefresh = std::chrono::seconds(90);

} // namespace Vanillahall::Forward
