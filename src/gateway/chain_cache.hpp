// Cache of the conversation histories that a gateway served recently. The next turn mostly comes through the
// same gateway, which then needs no copy from the ledger. Pure.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace guavawick::gateway {

/// LRU cache of histories, limited to max_history_bytes.
struct history_cache {
    struct entry {
        std::string key;
        std::string history; ///< all bytes up to the end of the turn
    };
    std::list<entry> newest_first;
    std::unordered_map<std::string, std::list<entry>::iterator> by_key;
    std::size_t bytes = 0; ///< sum of the histories' sizes
};

constexpr std::size_t max_history_bytes = 8U
                                          << 20U; ///< a tenth of the memory of the smallest gateway instance

/// @return the cache key of an organisation's turn.
std::string make_history_key(const std::string& organisation, const std::string& turn);
/// Looks a history up and marks it as the most recently used.
/// @return the history up to a turn, valid until the cache changes; nullptr if it is not cached.
const std::string* find_history(history_cache& cache, const std::string& key);
/// Adds a history and evicts the least recently used ones. One that is larger than the cache is not added.
void store_history(history_cache& cache, const std::string& key, std::string history);

} // namespace guavawick::gateway
