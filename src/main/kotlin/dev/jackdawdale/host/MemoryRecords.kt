package dev.jackdawdale.host

import dev.jackdawdale.control.RecordAccess
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.wire.Reply

internal fun memoryRecords(): RecordAccess {
    val all = mutableListOf<WorkRecord>()
    return RecordAccess(
        append = { records, _ -> all += records.filter { it.number >= all.size } },
        expect = {},
        read = { number, onResult -> onResult(all.getOrNull(number.toInt())) },
        search = { query, reply ->
            val found = all.drop(query.fromNumber.toInt())
                .filter { query.customerId == null || it.customerId == query.customerId }
                .take(query.limit)
            reply(Reply.Records(found, found.map { "" }, null))
        }
    )
}
