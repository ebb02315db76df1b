package org.dahliapass.decisions.configuration;

import java.util.Optional;

/** A store value that is updated by merging. */
public sealed interface MergeableItem extends StoreItem
        permits Pointer, CustomerIndex, TemplateText {

    /**
     * Returns the merge of this value and the current one.
     *
     * @param current the current value of the key
     * @throws IllegalArgumentException if the current value is of another type
     */
    MergeableItem mergedWith(Optional<StoreItem> current);
}
