package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply

private const val NDJSON_TYPE = "application/x-ndjson"
private const val DEFAULT_LIMIT = 100L
private const val MAX_LIMIT = 1_000L

/**
 * Returns records as JSON lines. The header `Jackdawdale-Next-Number` is the `from_number` of the
 * next page; it is absent on the last page.
 */
internal fun recordsRoute(host: EntryHost): Route =
    Route("GET", "/v1/records", Access.CUSTOMER_OR_OPERATOR) { call ->
        call.allowQuery("customer", "from_ms", "to_ms", "outcome", "from_number", "limit")
        val reply = host.client.query(call.recordsQuery(), host.settings.commandTimeoutMs)
        val records = reply.expect<Reply.Records>()
        val lines = records.records.zip(records.chainHashes).joinToString("") { (record, hash) ->
            httpJson.encodeToString(RecordJson.serializer(), record.toJson(hash)) + "\n"
        }
        val next = records.nextNumber?.let { mapOf("Jackdawdale-Next-Number" to "$it") }.orEmpty()
        HttpResult(200, NDJSON_TYPE, lines.encodeToByteArray(), next)
    }

private fun HttpCall.recordsQuery(): Query.Records {
    val own = callingCustomer()
    val named = queryText("customer")?.let { CustomerId(validId("customer", it)) }
    if (own != null && named != null && named != own) {
        throw HttpError(403, "forbidden", "the records of another customer")
    }
    return Query.Records(
        customerId = own ?: named,
        endedFromMs = queryLong("from_ms") ?: 0,
        endedToMs = queryLong("to_ms") ?: Long.MAX_VALUE,
        outcome = queryText("outcome"),
        fromNumber = queryLong("from_number") ?: 0,
        limit = (queryLong("limit") ?: DEFAULT_LIMIT).coerceIn(1, MAX_LIMIT).toInt()
    )
}
