/**
 * Record of the software versions at which streams may have begun, in a row of the platform's store that all entries share.
 * Load pattern: entries and servers are lost at any time, and clients resume many streams at once at entries that have just started. As
 * long as the record names a single version, any entry knows where each stream may go on, also after the loss of all others.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Vanillahall::Forward {

/** A version in the record. */
struct RecordedVersion
{
    SoftwareVersion software;
    std::optional<std::chrono::milliseconds> leftAt = {}; ///< Time by the store's clock since which no server of it has been listed.
    /** Time by the store's clock at which it was added to others; nothing if it stood in the row from the first. */
    std::optional<std::chrono::milliseconds> joinedAt = {};
};

/** Row of the record. */
struct StreamVersionsRow
{
    std::vector<RecordedVersion> versions;
    std::uint64_t version{}; ///< Version of the row in the store; 0 if there is none.
};

/** A stream isn't resumed later than this after the last server of its version has left the list. */
inline constexpr Duration StreamVersionLifetime = std::chrono::seconds(120);
/** A version is taken for gone once no server of it has been listed for this long; a server that has crashed is back sooner. */
inline constexpr Duration StreamVersionLeaveDelay = std::chrono::seconds(10);
/** Interval between reads of the record, so that a version that another entry takes for gone is recorded again in time. */
inline constexpr Duration StreamVersionReadInterval = std::chrono::seconds(30);
/** Versions in the record at most; streams don't begin at others. */
inline constexpr std::size_t MaxRecordedVersions = 200;

/** Keeps the record, and tells which versions it names. */
class StreamVersions
{
public:
    // Commands.

    /** Sets the versions of the listed servers that streams may begin at. */
    void onListed(const std::vector<SoftwareVersion> &listed, TimePoint now);
    /** Handles a read of the row. @param requestedAt When the read was requested. */
    void onRowRead(const StreamVersionsRow &row, TimePoint requestedAt);
    /**
     * Starts the next write of the row.
     * @param storeTime The store's clock.
     * @param removesOld True to record versions that have left, too, and to remove them in the end.
     * @return Row to write, on condition of its version; nothing if none is due or a write is under way.
     */
    std::optional<StreamVersionsRow> beginWrite(std::chrono::milliseconds storeTime, bool removesOld, TimePoint now);
    /** Handles the success of the write. @param version New version of the row. */
    void onWritten(std::uint64_t version);
    /** Handles the refusal of the write. @param row Current row. */
    void onConflict(const StreamVersionsRow &row);
    /** Handles the write failing or having an unknown outcome; the next read shows it. */
    void onWriteFailed();

    // Queries.

    /** @return True if a stream may begin at a version: the row names it. */
    [[nodiscard]] bool isRecorded(const SoftwareVersion &software) const;
    /** @return Versions at which streams may begin. */
    [[nodiscard]] std::vector<SoftwareVersion> recorded() const;
    /** @return True if the row names several versions, so that a stream may begin only at one that a row of its own names, too. */
    [[nodiscard]] bool hasSeveral() const;
    /**
     * @return Version at which a stream that no other row names may have begun, while the record named only this one; nothing if such
     * streams have ended. @param storeTime The store's clock.
     */
    [[nodiscard]] std::optional<SoftwareVersion> unnamed(std::chrono::milliseconds storeTime) const;
    /** @return True if the row, or that there is none, is known as of a time or later. */
    [[nodiscard]] bool isConfirmedSince(TimePoint since) const;
    /** @return Versions at which a stream that is resumed now may have begun. @param storeTime The store's clock. */
    [[nodiscard]] std::vector<SoftwareVersion> possible(std::chrono::milliseconds storeTime) const;

private:
    [[nodiscard]] bool isListed(const SoftwareVersion &software) const;

    StreamVersionsRow m_row;
    std::optional<StreamVersionsRow> m_written;      ///< Row of the write that is under way.
    std::vector<SoftwareVersion> m_listed;           ///< Versions of the listed servers.
    std::map<std::string, TimePoint> m_missingSince; ///< Recorded versions that aren't listed, by versionKey().
    std::optional<TimePoint> m_confirmedAt;          ///< When the last read that has shown the row was requested.
};

/** What is known about the version of a stream that a client resumes. */
struct OriginKnowledge
{
    std::optional<std::vector<SoftwareVersion>> recorded; ///< Versions in the record; nothing if it wasn't read.
    bool hasRow = false;                                  ///< True if the program, or the stream, may have a row that names versions.
    std::optional<std::vector<SoftwareVersion>> row;      ///< Versions that the program's row names; nothing if it wasn't read.
    bool hasOwner = false;                                ///< True if an owner may have granted streams that the row doesn't name.
    std::optional<std::vector<SoftwareVersion>> owner;    ///< Versions of the streams that the owner has granted; nothing if unknown.
    std::optional<SoftwareVersion> unnamed = {};          ///< Version at which the stream may have begun although no row names it.
};

/** The version is known. */
struct OriginKnown
{
    SoftwareVersion software;
};
/** The record of versions has to be read. */
struct OriginNeedsRecord
{
};
/** The program's row has to be read. */
struct OriginNeedsRow
{
};
/** The owner of the program has to be asked. */
struct OriginNeedsOwner
{
};
/** The stream may have begun at several versions. */
struct OriginAmbiguous
{
};
using StreamOrigin
    = std::variant<OriginKnown, OriginNeedsRecord, OriginNeedsRow, OriginNeedsOwner, OriginAmbiguous>; ///< Result of findStreamOrigin().

/** @return Version that began a stream, or what has to be known first. */
[[nodiscard]] StreamOrigin findStreamOrigin(const OriginKnowledge &known);

} // namespace Vanillahall::Forward
