/** In-memory table service and object store with simulated time and injected faults. */
#pragma once

#include "vanillahall/core/store_type.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Vanillahall {

/** Fault injected into one request. */
enum class StoreFault : std::uint8_t {
    None,       ///< Nothing.
    Refused,    ///< Not executed; answered with an error that says so.
    Silent,     ///< Not executed; no answer within the time limit.
    AnswerLost, ///< Executed; no answer within the time limit.
    Delayed,    ///< Executed late; answered late or not within the time limit.
    Stale,      ///< A read returns the previous version of a row; a scan omits its first row.
};

/** Counts of executed requests. */
struct StoreCounters
{
    std::uint64_t writes{};       ///< Transactions.
    std::uint64_t reads{};        ///< Row reads and scan pages.
    std::uint64_t objectWrites{}; ///< Objects written or removed.
    std::uint64_t objectReads{};  ///< Objects read.
};

/** An answer for a client. */
struct FakeAnswer
{
    std::uint64_t client{}; ///< The client, as given to submit().
    StoreRequestId request; ///< Which request.
    StoreAnswer answer;     ///< The answer.
};

/** The platform's store, simulated. */
class FakeStore
{
public:
    Duration latency = std::chrono::milliseconds(4);     ///< Time from request to execution, and from execution to answer.
    Duration timeLimit = std::chrono::milliseconds(800); ///< After this a client receives an error instead of an answer.

    /** Executes a request at once. */
    StoreAnswer apply(const StoreRequest &request, bool stale = false)
    {
        return std::visit(
            [&](const auto &it) {
                return execute(it, stale);
            },
            request);
    }

    /**
     * Queues a request.
     * @param delay Added to the execution time of a Delayed request.
     */
    void
    submit(std::uint64_t client, StoreRequestId id, const StoreRequest &body, StoreFault fault, TimePoint now, Duration delay = Duration(0))
    {
        PendingRequest it;
        it.client = client;
        it.id = id;
        it.body = body;
        it.fault = fault;
        it.executeAt = now + latency + delay;
        it.answerAt = it.executeAt + latency;
        const bool silent = fault == StoreFault::Silent || fault == StoreFault::AnswerLost;
        if (silent || it.answerAt > now + timeLimit) {
            it.answerAt = now + timeLimit;
            it.lost = true;
        }
        m_pending.push_back(std::move(it));
    }

    /** Executes and answers the requests whose time has come. @return The answers, in the order of the requests. */
    std::vector<FakeAnswer> advance(TimePoint now)
    {
        std::vector<FakeAnswer> answers;
        for (PendingRequest &it : m_pending) {
            if (!it.executed && it.executeAt <= now) {
                it.executed = true;
                it.answer = run(it);
            }
            if (!it.answered && it.answerAt <= now) {
                it.answered = true;
                answers.push_back(FakeAnswer{it.client, it.id, it.lost ? StoreAnswer(failure(RunState::Unknown)) : it.answer});
            }
        }
        std::erase_if(m_pending, [](const PendingRequest &it) {
            return it.executed && it.answered;
        });
        return answers;
    }

    /** @return A row's current value; null if it doesn't exist. */
    [[nodiscard]] const StoredRow *row(const RowKey &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? nullptr : &it->second;
    }
    [[nodiscard]] std::size_t objectCount() const
    {
        return m_objects.size();
    }
    [[nodiscard]] const std::map<RowKey, StoredRow> &rows() const
    {
        return m_rows;
    }
    [[nodiscard]] const StoreCounters &counters() const
    {
        return m_counters;
    }

private:
    /** A request that hasn't been both executed and answered. */
    struct PendingRequest
    {
        std::uint64_t client{};
        StoreRequestId id;
        StoreRequest body;
        StoreFault fault = StoreFault::None;
        TimePoint executeAt;
        TimePoint answerAt;
        bool lost{};
        StoreAnswer answer;
        bool executed{};
        bool answered{};
    };

    static StoreFailed failure(RunState run)
    {
        Error error;
        error.code = ErrorCode::StoreUnavailable;
        error.run = run;
        error.step = Step::Commit;
        error.peer = "store";
        return StoreFailed{error};
    }

    StoreAnswer run(const PendingRequest &it)
    {
        if (it.fault == StoreFault::Refused || it.fault == StoreFault::Silent) {
            return failure(RunState::NotRun);
        }
        return apply(it.body, it.fault == StoreFault::Stale);
    }

    [[nodiscard]] RowVersion versionOf(const RowKey &key) const
    {
        const StoredRow *found = row(key);
        return found == nullptr ? RowVersion() : found->version;
    }

    StoreAnswer execute(const StoreTransaction &it, bool /*stale*/)
    {
        m_counters.writes++;
        for (const RowCondition &condition : it.conditions) {
            if (versionOf(condition.key) != condition.version) {
                return StoreConflict{};
            }
        }
        m_version.value++;
        for (const RowPut &put : it.puts) {
            const auto old = m_rows.find(put.key);
            if (old != m_rows.end()) {
                m_previousRows[put.key] = old->second;
            }
            m_rows[put.key] = StoredRow{put.key, m_version, put.value};
        }
        for (const RowKey &key : it.removes) {
            m_rows.erase(key);
        }
        return StoreDone{m_version};
    }

    StoreAnswer execute(const StoreGet &it, bool stale)
    {
        m_counters.reads++;
        StoreRows rows;
        const auto older = m_previousRows.find(it.key);
        const StoredRow *found = stale && older != m_previousRows.end() ? &older->second : row(it.key);
        if (found != nullptr) {
            rows.rows.push_back(*found);
        }
        return rows;
    }

    StoreAnswer execute(const StoreScan &it, bool stale)
    {
        m_counters.reads++;
        StoreRows rows;
        for (auto at = m_rows.lower_bound(it.from); at != m_rows.end() && at->first < it.to; at++) {
            if (rows.rows.size() == it.limit) {
                rows.more = true;
                break;
            }
            const auto older = m_previousRows.find(at->first);
            rows.rows.push_back(stale && older != m_previousRows.end() ? older->second : at->second);
        }
        if (stale && !rows.rows.empty()) {
            rows.rows.erase(rows.rows.begin());
        }
        return rows;
    }

    StoreAnswer execute(const ObjectPut &it, bool /*stale*/)
    {
        m_counters.objectWrites++;
        m_objects[it.key] = it.snapshot;
        return StoreDone{};
    }

    StoreAnswer execute(const ObjectGet &it, bool /*stale*/)
    {
        m_counters.objectReads++;
        const auto found = m_objects.find(it.key);
        return found == m_objects.end() ? StoreObject{} : StoreObject{found->second};
    }

    StoreAnswer execute(const ObjectRemove &it, bool /*stale*/)
    {
        m_counters.objectWrites++;
        m_objects.erase(it.key);
        return StoreDone{};
    }

    std::map<RowKey, StoredRow> m_rows;
    std::map<RowKey, StoredRow> m_previousRows;
    std::map<ObjectKey, ShardSnapshot> m_objects;
    std::vector<PendingRequest> m_pending;
    StoreCounters m_counters;
    RowVersion m_version;
};

} // namespace Vanillahall
