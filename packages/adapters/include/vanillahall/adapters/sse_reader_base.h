/** Reader of server-sent events. */
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Vanillahall {

/** Takes a stream apart into the data of its events. Lines may end in LF, CR LF or CR and be split over pieces anywhere. */
class SseReader
{
public:
    using Callback = std::function<void(std::string_view data)>; ///< Gets the data of one event.

    /**
     * @param maxEvent Longest line and longest data of one event, in bytes.
     * @param callback Called once for each event that has data.
     */
    SseReader(std::size_t maxEvent, Callback callback);

    /**
     * Reads the next piece.
     * @param piece Any bytes.
     * @return False if a line or an event was too long; the reader takes nothing more.
     */
    bool read(std::string_view piece);

private:
    void takeLine(std::string_view line);
    void takeField(std::string_view name, std::string_view value);

    std::size_t m_maxEvent;
    Callback m_callback;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_afterCr = false;
    bool m_broken = false;
};

} // namespace Vanillahall
