package dev.jackdawdale.settings

import java.io.IOException
import java.io.StringReader
import java.nio.file.Files
import java.nio.file.Path
import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException

/** One `key = value` of a settings file and its line number, when known. */
internal data class Entry(val section: String, val key: String, val value: String, val line: Int?)

/** The entries of a settings file before they are checked. */
internal class SettingsFile(val name: String, val entries: List<Entry>) {
    fun find(section: String, key: String): Entry? =
        entries.firstOrNull { it.section == section && it.key == key }

    fun lineOf(key: Key<*>): Int? = find(key.section, key.name)?.line
}

/** Reads the entries of the INI file [path]; the second value is the error, if there is one. */
internal fun readSettingsFile(path: Path): Pair<SettingsFile, SettingsError.Unreadable?> = try {
    settingsFile(path.toString(), Files.readString(path)) to null
} catch (e: IOException) {
    SettingsFile(path.toString(), emptyList()) to
        SettingsError.Unreadable(path.toString(), "${e.javaClass.simpleName} ${e.message}")
} catch (e: ConfigurationException) {
    SettingsFile(path.toString(), emptyList()) to
        SettingsError.Unreadable(path.toString(), e.message ?: "not an INI file")
}

private fun settingsFile(name: String, text: String): SettingsFile {
    val ini = INIConfiguration()
    ini.read(StringReader(text))
    val lines = lineIndex(text)
    val entries = ini.sections.flatMap { section ->
        val keys = ini.getSection(section).keys.asSequence().toList()
        keys.flatMap { escaped ->
            val key = escaped.replace("..", ".")
            val found = lines[(section ?: "") to key].orEmpty()
            val values = ini.getSection(section).getList(escaped).map { it?.toString() ?: "" }
            values.mapIndexed { index, value ->
                Entry(section ?: "", key, value.trim(), found.getOrNull(index))
            }
        }
    }
    return SettingsFile(name, entries.sortedBy { it.line ?: Int.MAX_VALUE })
}

private val sectionLine = Regex("\\s*\\[([^]]*)].*")
private val keyLine = Regex("\\s*([^=:;#\\s][^=:]*?)\\s*[=:].*")

// A second pass finds the line numbers, which Commons Configuration does not keep.
private fun lineIndex(text: String): Map<Pair<String, String>, List<Int>> {
    val found = mutableMapOf<Pair<String, String>, MutableList<Int>>()
    var section = ""
    text.lines().forEachIndexed { index, line ->
        val header = sectionLine.matchEntire(line)
        val key = keyLine.matchEntire(line)
        when {
            header != null -> section = header.groupValues[1].trim()
            key != null ->
                found.getOrPut(section to key.groupValues[1]) { mutableListOf() }.add(index + 1)
        }
    }
    return found
}
