package dev.jackdawdale.codec

/**
 * Limits of a JSON text from another process.
 *
 * @property maxDepth nesting of objects and lists; a parser recurses once per level
 * @property maxValues number of values, each of which takes a multiple of its text in memory
 */
internal data class JsonBounds(val maxDepth: Int = 32, val maxValues: Int = 200_000)

/**
 * Why [bytes] exceed [bounds], or null when a parser can take them.
 *
 * Reads the text once and without recursion, and does not check it otherwise.
 */
internal fun jsonBoundsProblem(bytes: ByteArray, bounds: JsonBounds = JsonBounds()): String? {
    var depth = 0
    var values = 1
    var inText = false
    var escaped = false
    for (byte in bytes) {
        val char = byte.toInt().toChar()
        when {
            escaped -> escaped = false
            inText && char == '\\' -> escaped = true
            char == '"' -> inText = !inText
            inText -> Unit
            char == '[' || char == '{' -> {
                values++
                if (++depth > bounds.maxDepth) return "nested more than ${bounds.maxDepth} deep"
            }
            char == ']' || char == '}' -> depth--
            char == ',' ->
                if (++values > bounds.maxValues) return "more than ${bounds.maxValues} values"
        }
    }
    return null
}
