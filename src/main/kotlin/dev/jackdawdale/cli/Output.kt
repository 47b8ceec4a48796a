package dev.jackdawdale.cli

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** A table column: its title and the path of its value, such as `info.slots`. */
internal class Column(val title: String, val path: String)

internal fun columns(vararg paths: String): List<Column> =
    paths.map { Column(it.substringAfterLast('.'), it) }

/** The value at [path], or null. */
internal fun JsonObject.at(path: String): JsonElement? =
    path.split('.').fold(this as JsonElement?) { element, name ->
        (element as? JsonObject)?.get(name)
    }

/** Formats rows as aligned columns with titles. */
internal fun table(rows: List<JsonObject>, columns: List<Column>): String {
    val cells = rows.map { row -> columns.map { cell(row.at(it.path)) } }
    val widths = columns.indices.map { index ->
        maxOf(columns[index].title.length, cells.maxOfOrNull { it[index].length } ?: 0)
    }
    return (listOf(columns.map { it.title }) + cells).joinToString("") { row ->
        row.mapIndexed { index, text -> text.padEnd(widths[index]) }
            .joinToString("  ").trimEnd() + "\n"
    }
}

/** Formats each field as a `name: value` line; nested fields are named by their path. */
internal fun fields(value: JsonObject, prefix: String = ""): String =
    value.entries.joinToString("") { (name, element) ->
        if (element is JsonObject) {
            fields(element, "$prefix$name.")
        } else {
            "$prefix$name: ${cell(element)}\n"
        }
    }

private fun cell(element: JsonElement?): String = when (element) {
    null, JsonNull -> "-"
    is JsonPrimitive -> element.content
    is JsonArray -> element.joinToString(",") { cell(it) }
    is JsonObject -> element.entries.joinToString(" ") { (name, value) -> "$name=${cell(value)}" }
}

/** A terminal line that is overwritten while a command waits; prints nothing without a terminal. */
internal class Progress(private val enabled: Boolean = System.console() != null) {
    private var shown = 0

    fun show(text: String) {
        if (!enabled) return
        System.err.print("\r" + text.padEnd(shown))
        System.err.flush()
        shown = text.length
    }

    fun clear() {
        if (!enabled || shown == 0) return
        System.err.print("\r" + " ".repeat(shown) + "\r")
        System.err.flush()
        shown = 0
    }
}
