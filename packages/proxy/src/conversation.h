/** The calls to the store of one turn of a kept conversation. */
#pragma once

#include "store_caller.h"

#include "vanillahall/core/conversation_turn_base.h"

#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

class ProxyState;

/** Finds the conversation before a turn, and keeps the turn when its answer is whole. */
class Conversation : public std::enable_shared_from_this<Conversation>
{
public:
    /** Gets ConversationReady, or why the turn can't run. */
    using Found = std::function<void(const TurnStep &result)>;
    /** The turn is durable. */
    using Kept = std::function<void()>;

    /** @param proxy Outlives this. */
    Conversation(ProxyState &proxy, TurnStart start);

    // Commands.

    /** Finds the conversation. @param limit Longest time for each row. */
    void find(Duration limit, Found found);
    /** Takes whole events that the client gets. @return False if the turn gets too long to be kept. */
    bool addEvents(std::string_view events);
    /** Writes the turn, again and again until it is durable or end() is called. */
    void keep(Kept kept);
    /** The answer has ended; nobody is called back any more. @param isWhole False to remove what was written of the turn. */
    void end(bool isWhole);

    // Queries.

    /** @return Decisions and texts. */
    [[nodiscard]] const ConversationTurn &turn() const;

private:
    void follow(const TurnStep &step);
    void read(const TurnLocation &location);
    void rowsCame(const TurnLocation &location, const std::optional<StoreReply> &reply, const Error &reason);
    void write(const TurnWrite &write);
    void writeEnded(const TurnWrite &write, const std::optional<StoreReply> &reply, const Error &reason);
    void remove();
    void logFound(const TurnStep &result);
    void logKept(bool isStored);

    ProxyState &m_proxy;
    std::string m_id;
    std::string m_previous;
    std::string m_program;
    ConversationTurn m_turn;
    boost::asio::steady_timer m_timer;   ///< Before failed writes are made again.
    std::vector<TurnWrite> m_nextWrites; ///< Writes that m_timer begins.
    Found m_found;
    Kept m_kept;
    Duration m_readLimit{};
    TimePoint m_began{};          ///< When the reads or the writes began.
    std::size_t m_writes = 0;     ///< Writes so far.
    std::size_t m_openWrites = 0; ///< Writes under way.
    std::size_t m_pieces = 1;     ///< Rows of the turn.
    std::string m_lastFault;      ///< Why the last call failed.
    bool m_isEnded = false;       ///< True after end().
    bool m_isWhole = false;       ///< True if the answer ended whole.
};

} // namespace Vanillahall::Forward
