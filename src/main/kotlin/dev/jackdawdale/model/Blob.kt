package dev.jackdawdale.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ByteArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Opaque bytes compared by content. The array must not be changed after construction. */
@Serializable(with = BlobSerializer::class)
class Blob(val bytes: ByteArray) {
    val sizeBytes: Int get() = bytes.size

    override fun equals(other: Any?): Boolean = other is Blob && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Blob($sizeBytes bytes)"
}

val emptyBlob: Blob = Blob(ByteArray(0))

/** Creates a blob of the UTF-8 bytes of [text]. */
fun blob(text: String): Blob = Blob(text.encodeToByteArray())

internal object BlobSerializer : KSerializer<Blob> {
    private val delegate = ByteArraySerializer()

    // With the delegate's own descriptor, the CBOR codec would cast the blob to a byte array.
    override val descriptor = SerialDescriptor("dev.jackdawdale.Blob", delegate.descriptor)

    override fun serialize(encoder: Encoder, value: Blob) =
        encoder.encodeSerializableValue(delegate, value.bytes)

    override fun deserialize(decoder: Decoder): Blob =
        Blob(decoder.decodeSerializableValue(delegate))
}
