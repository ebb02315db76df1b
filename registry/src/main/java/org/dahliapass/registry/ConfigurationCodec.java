package org.dahliapass.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.dahliapass.decisions.configuration.CustomerIndex;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.Pointer;
import org.dahliapass.decisions.configuration.StoreItem;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.kernel.OperationException;

/**
 * A codec for the values of the configuration store: templates as plain text, all others as JSON.
 *
 * <p>Unknown JSON fields are ignored, for compatibility with newer releases.
 */
public final class ConfigurationCodec {
    private static final ObjectMapper JSON =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private ConfigurationCodec() {}

    /** Returns the text that represents a value in the store. */
    public static String encode(StoreItem item) {
        if (item instanceof TemplateText text) {
            return text.text();
        }
        try {
            return JSON.writeValueAsString(item);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("The store item can't be encoded as JSON.", failure);
        }
    }

    /**
     * Returns the value that a text in the store represents.
     *
     * @throws OperationException if the text is not valid for the key's kind of value
     */
    public static StoreItem decode(StoreKey key, String text) {
        try {
            return switch (key.kind()) {
                case TEXT -> new TemplateText(text);
                case HEAD -> JSON.readValue(text, Head.class);
                case POINTER -> JSON.readValue(text, Pointer.class);
                case CUSTOMERS -> JSON.readValue(text, CustomerIndex.class);
            };
        } catch (JsonProcessingException failure) {
            throw new OperationException(
                    "decode " + key.path(),
                    "store",
                    "The value isn't valid JSON of its type; restore it from a backup.",
                    failure);
        }
    }
}
