package org.dahliapass.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Template;

/** An immutable snapshot of the templates in force on this VM, which traffic threads read. */
public final class RoutingTable {
    /** The table of a VM that has no configuration. */
    public static final RoutingTable EMPTY = new RoutingTable(Map.of());

    private final Map<String, Template> mTemplates;

    private RoutingTable(Map<String, Template> templates) {
        mTemplates = Map.copyOf(templates);
    }

    /** Returns a table in which this template replaces the customer's earlier one. */
    public RoutingTable with(Template template) {
        Map<String, Template> templates = new HashMap<>(mTemplates);
        templates.put(template.customer(), template);
        return new RoutingTable(templates);
    }

    /** Returns a table without the customer's template. */
    public RoutingTable without(String customer) {
        Map<String, Template> templates = new HashMap<>(mTemplates);
        templates.remove(customer);
        return new RoutingTable(templates);
    }

    /** Returns the templates. */
    public Collection<Template> templates() {
        return mTemplates.values();
    }

    /** Returns all services that have targets here. */
    public List<ServiceTemplate> provided() {
        return mTemplates.values().stream()
                .flatMap(template -> template.services().stream())
                .filter(service -> !service.targets().isEmpty())
                .toList();
    }

    /** Finds a customer's way to a service; empty if either template lacks it. */
    public Optional<Route> find(String customer, String service) {
        Template template = mTemplates.get(customer);
        if (template == null) {
            return Optional.empty();
        }
        return template.service(service)
                .flatMap(own -> provided(own.id()).map(found -> new Route(customer, own, found)));
    }

    /** Finds the service in its provider's template. */
    public Optional<ServiceTemplate> provided(ServiceId id) {
        Template template = mTemplates.get(id.provider());
        if (template == null) {
            return Optional.empty();
        }
        return template.service(id.name()).filter(service -> !service.targets().isEmpty());
    }
}
