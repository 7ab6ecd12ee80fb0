/*
 * reload - read the settings file again while the process serves
 *
 * SOURCE cmd/reload.c
 */
#ifndef RELOAD_H
#define RELOAD_H

#include "kernel/module.h"
#include "lib/settings.h"

/*
 * reload_settings - hand what PATH holds now to the started services. A file that is not valid,
 * or that changes what takes a start, changes nothing and is logged. Returns the settings in
 * force, NOW or those of the file; the others are freed.
 */
struct settings *reload_settings(struct module_registry *k, struct settings *now, const char *path);
void reload_settings_free(struct settings *s);

#endif
