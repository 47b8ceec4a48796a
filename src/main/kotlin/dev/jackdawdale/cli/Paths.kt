package dev.jackdawdale.cli

import java.net.URLEncoder

/** Encodes [text] as a path segment or a query value. */
internal fun segment(text: String): String =
    URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")

/** A query string of the parameters that have a value. */
internal fun query(vararg parameters: Pair<String, Any?>): String {
    val given = parameters.filter { it.second != null }
    if (given.isEmpty()) return ""
    return given.joinToString("&", "?") { (name, value) -> "$name=${segment("$value")}" }
}
