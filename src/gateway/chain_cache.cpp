// Cache of the conversation histories that a gateway served recently.
#include "gateway/chain_cache.hpp"

namespace guavawick::gateway {

std::string make_history_key(const std::string& organisation, const std::string& turn)
{
    return organisation + "\n" + turn;
}

const std::string* find_history(history_cache& cache, const std::string& key)
{
    const auto found = cache.by_key.find(key);
    if (found == cache.by_key.end()) {
        return nullptr;
    }
    cache.newest_first.splice(cache.newest_first.begin(), cache.newest_first, found->second);
    return &found->second->history;
}

void store_history(history_cache& cache, const std::string& key, std::string history)
{
    if (history.size() > max_history_bytes || find_history(cache, key) != nullptr) {
        return;
    }
    cache.bytes += history.size();
    cache.newest_first.push_front({key, std::move(history)});
    cache.by_key[key] = cache.newest_first.begin();
    while (cache.bytes > max_history_bytes) {
        cache.bytes -= cache.newest_first.back().history.size();
        cache.by_key.erase(cache.newest_first.back().key);
        cache.newest_first.pop_back();
    }
}

} // namespace guavawick::gateway
