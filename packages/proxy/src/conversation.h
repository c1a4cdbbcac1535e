/** Store calls for one turn of a stored conversation. */
#pragma once

#include "store_caller.h"

#include "vanillahall/core/conversation_turn_base.h"

#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

class ProxyState;

/** Loads the conversation before a turn, and stores the turn when its response is complete. */
class Conversation : public std::enable_shared_from_this<Conversation>
{
public:
    /** Called with ConversationReady, or with the reason why the turn can't run. */
    using FoundHandler = std::function<void(const TurnStep &result)>;
    /** Called when the turn is durable. */
    using StoredHandler = std::function<void()>;

    /** @param proxy Must outlive the conversation. */
    Conversation(ProxyState &proxy, TurnStart start);

    // Commands.

    /** Loads the earlier turns. @param limit Time limit for reading each row. */
    void find(Duration limit, FoundHandler handler);
    /** Appends complete events that are sent to the client. @return False if the turn becomes too long to be stored. */
    bool addEvents(std::string_view events);
    /** Writes the turn; failed writes are retried until it is durable or end() is called. */
    void storeTurn(StoredHandler handler);
    /** Ends the turn; no handler is called after this. @param isComplete False to remove the rows already written for the turn. */
    void end(bool isComplete);

    // Queries.

    /** @return State and texts of the turn. */
    [[nodiscard]] const ConversationTurn &turn() const;

private:
    void processStep(const TurnStep &step);
    void read(const TurnLocation &location);
    void onRowsRead(const TurnLocation &location, const std::optional<StoreReply> &reply, const Error &reason);
    void write(const TurnWrite &write);
    void onWriteEnded(const TurnWrite &write, const std::optional<StoreReply> &reply, const Error &reason);
    void removeUnfinishedTurn();
    void logFound(const TurnStep &result);
    void logStored(bool isStored);

    ProxyState &m_proxy;
    std::string m_id;
    std::string m_previous;
    std::string m_program;
    ConversationTurn m_turn;
    boost::asio::steady_timer m_timer;        ///< Delays retries of failed writes.
    std::vector<TurnWrite> m_scheduledWrites; ///< Writes to start when m_timer expires.
    FoundHandler m_foundHandler;
    StoredHandler m_storedHandler;
    Duration m_readLimit{};
    TimePoint m_startedAt{};      ///< When the reads or the writes started.
    std::size_t m_writes = 0;     ///< Writes so far.
    std::size_t m_openWrites = 0; ///< Writes in progress.
    std::size_t m_rowCount = 1;   ///< Number of rows that the turn takes.
    std::string m_lastError;      ///< Error of the last failed call.
    bool m_isEnded = false;       ///< True after end().
    bool m_isComplete = false;    ///< True if the response was completed.
};

} // namespace Vanillahall::Forward
