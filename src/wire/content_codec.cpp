// Conversion of places of stored bytes to and from messages.
#include "wire/content_codec.hpp"

#include "wire.pb.h"

namespace guavawick::wire {

void to_wire(const content_range& from, content_place* into)
{
    into->set_segment(from.segment);
    into->set_offset(from.offset);
    into->set_size(from.size);
    into->set_checksum(from.checksum);
}

content_range from_wire(const content_place& from)
{
    return {from.segment(), from.offset(), from.size(), from.checksum()};
}

} // namespace guavawick::wire
