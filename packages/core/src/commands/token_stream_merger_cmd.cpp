#include "vanillahall/core/token_stream_merger_base.h"

#include <algorithm>

namespace Vanillahall {

MergedTokens TokenStreamMerger::take(std::uint32_t firstToken, const std::vector<std::string> &pieces)
{
    MergedTokens result;
    result.firstToken = m_nextToken;
    if (firstToken == 0) {
        m_offset = 0;
        m_expected = 0;
        m_diverged = false;
    }
    if (firstToken > m_expected) {
        return result; // A gap: finish() sends the missing text.
    }
    for (std::size_t n = m_expected - firstToken; n < pieces.size() && !m_diverged; n++) {
        const std::string &piece = pieces[n];
        m_expected++;
        const std::size_t known = std::min(piece.size(), m_sent.size() - std::min(m_offset, m_sent.size()));
        m_diverged = m_sent.compare(std::min(m_offset, m_sent.size()), known, piece, 0, known) != 0;
        m_offset += piece.size();
        if (!m_diverged && known < piece.size()) {
            result.pieces.push_back(piece.substr(known));
            m_sent += result.pieces.back();
            m_nextToken++;
        }
    }
    return result;
}

std::optional<MergedTokens> TokenStreamMerger::finish(const std::string &text)
{
    if (text.compare(0, m_sent.size(), m_sent) != 0) {
        m_diverged = true;
        return std::nullopt;
    }
    MergedTokens result;
    result.firstToken = m_nextToken;
    if (text.size() > m_sent.size()) {
        result.pieces.push_back(text.substr(m_sent.size()));
        m_sent = text;
        m_nextToken++;
    }
    return result;
}

bool TokenStreamMerger::hasDiverged() const
{
    return m_diverged;
}

} // namespace Vanillahall
