package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.MAX_RESOURCE
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.isValidId

private const val MAX_TEXT_CHARS = 128

internal fun invalid(field: String, problem: String): HttpError =
    badRequest("invalid", "field \"$field\": $problem")

/** Returns [value], or throws an error that names [field] when it is less than [min]. */
internal fun atLeast(min: Long, field: String, value: Long): Long {
    if (value < min) throw invalid(field, "$value is less than $min")
    return value
}

internal fun atLeast(min: Int, field: String, value: Int): Int {
    if (value < min) throw invalid(field, "$value is less than $min")
    return value
}

internal fun validId(field: String, value: String): String {
    if (!isValidId(value)) {
        throw invalid(field, "must be 1 to 128 of the characters A-Z a-z 0-9 . _ : @ -")
    }
    return value
}

internal fun validText(field: String, value: String): String {
    if (value.length > MAX_TEXT_CHARS) throw invalid(field, "longer than $MAX_TEXT_CHARS")
    return value
}

internal fun resources(cpuMillis: Long, memoryMib: Long, accelerators: Long): Resources = Resources(
    resource("cpu_millis", cpuMillis),
    resource("memory_mib", memoryMib),
    resource("accelerators", accelerators)
)

/** Returns [value], or throws an error that names [field] when no machine has as much. */
internal fun resource(field: String, value: Long): Long {
    if (value > MAX_RESOURCE) throw invalid(field, "$value is over $MAX_RESOURCE")
    return atLeast(0, field, value)
}

/** A path parameter that must be a valid id. */
internal fun HttpCall.pathId(name: String): String = validId(name, path.getValue(name))

/** The customer that makes the call. */
internal fun HttpCall.customer(): CustomerId = (principal as Principal.Customer).customerId

/** The one value of a header, or null without the header. */
internal fun HttpCall.header(name: String): String? {
    val values = headers.getAll(name)
    if (values.size > 1) throw badHeader(name, "is given more than once")
    return values.firstOrNull()
}

internal fun badHeader(name: String, problem: String): HttpError =
    badRequest("bad_header", "header $name $problem")

internal fun HttpCall.longHeader(name: String, range: LongRange): Long? {
    val text = header(name) ?: return null
    return text.toLongOrNull()?.takeIf { it in range }
        ?: throw badHeader(name, "must be a number from ${range.first} to ${range.last}")
}

/** The one value of a query parameter, or null without it. */
internal fun HttpCall.queryText(name: String): String? {
    val values = query[name] ?: return null
    if (values.size > 1) throw invalid(name, "is given more than once")
    return values.first()
}

internal fun HttpCall.queryLong(name: String): Long? {
    val text = queryText(name) ?: return null
    return text.toLongOrNull()?.takeIf { it >= 0 }
        ?: throw invalid(name, "must be a number of at least 0")
}

/** Throws [HttpError] 400 for a query parameter that is not in [names]. */
internal fun HttpCall.allowQuery(vararg names: String) {
    val unknown = query.keys.firstOrNull { it !in names } ?: return
    throw badRequest("unknown_parameter", "unknown query parameter \"$unknown\"")
}
